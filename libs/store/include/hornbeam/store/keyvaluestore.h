#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/store/transaction.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

/** Receives what happens under a watched prefix. Called on the control thread. */
class WatchListener
{
public:
    virtual ~WatchListener() = default;

    /**
     * Reports changes in the order of their revisions. A deletion has an empty value, createRevision 0 and the revision
     * of the deletion in modRevision.
     */
    virtual void changed(const std::vector<KeyValue> &changes) = 0;

    /**
     * Reports that the watch ended, for example because the store became unreachable. It does not resume by itself.
     * Conflict means that the store no longer has the start revision: read the keys and watch from the answer on.
     */
    virtual void ended(const Error &error) = 0;
};

/** A running watch; destroying it ends the watch and no listener call follows. */
class Watch
{
public:
    virtual ~Watch() = default;
};

/** All keys that start with the prefix, in key order, or one key. */
struct RangeRequest
{
    std::string key;
    bool prefix = false;
    std::int64_t limit = 0; ///< Maximum number of keys; 0 is no limit.
    bool keysOnly = false;
    bool mayBeStale = false; ///< The answer may be seconds old; cheaper where the store offers such reads.
    std::string after{}; ///< Only keys after this one; empty for all.
};

struct RangeResult
{
    std::vector<KeyValue> entries;
    std::int64_t revision = 0; ///< Revision of the store when it answered.
    bool more = false; ///< Further keys follow after the last entry. KeyValueStore::range() reads them all.
};

struct LeaseGrant
{
    LeaseId id = 0;
    std::chrono::seconds timeToLive{0};
};

struct WatchRequest
{
    std::string prefix;
    std::int64_t startRevision = 0; ///< First revision to report; 0 starts at the current one.
};

/**
 * The platform's key-value service: compare-and-swap, leases and watches.
 * All functions return at once; callbacks run on the control thread, exactly once, at the latest when the request
 * timeout of the implementation has passed. Error codes: Unavailable when the call certainly had no effect,
 * OutcomeUnknown when a write may have taken effect, Overloaded when the store refused for its rate limit.
 */
class KeyValueStore
{
public:
    template <typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~KeyValueStore() = default;

    virtual void range(RangeRequest request, Callback<RangeResult> callback) = 0;
    virtual void commit(Transaction transaction, Callback<TransactionResult> callback) = 0;

    /** Grants a lease; the time to live is at least one second. */
    virtual void grantLease(std::chrono::seconds timeToLive, Callback<LeaseGrant> callback) = 0;

    /** Extends a lease. NotFound when it has already expired. */
    virtual void keepLeaseAlive(LeaseId lease, Callback<LeaseGrant> callback) = 0;

    virtual void revokeLease(LeaseId lease, Callback<bool> callback) = 0;

    /** Starts a watch; @p listener must outlive the returned object. */
    [[nodiscard]] virtual std::unique_ptr<Watch> watch(WatchRequest request, WatchListener &listener) = 0;
};

} // namespace Hornbeam
