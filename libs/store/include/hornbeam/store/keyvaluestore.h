#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/store/storegeneration.h>
#include <hornbeam/store/transaction.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/** Receives the changes of the keys under a watched prefix. Called on the control thread. */
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
     * Conflict means that the store does not have the start revision, or that its generation has changed: read the keys
     * again, and start a new watch after the revision of that read.
     */
    virtual void ended(const Error &error) = 0;
};

/** A running watch. Destroying it ends the watch; the listener is not called afterwards. */
class Watch
{
public:
    virtual ~Watch() = default;
};

/** Reads one key, or all keys with a common prefix in key order. */
struct RangeRequest
{
    std::string key;
    bool prefix = false; ///< Read all keys that start with @c key.
    std::int64_t limit = 0; ///< Maximum number of keys; 0 means no limit.
    bool keysOnly = false;
    bool mayBeStale = false; ///< The result may be seconds old; cheaper if the store supports stale reads.
    std::string after{}; ///< Only keys that sort after this one; empty for all.
};

struct RangeResult
{
    std::vector<KeyValue> entries;
    std::int64_t revision = 0; ///< Revision of the store at the time of the read.
    bool more = false; ///< More pages follow. Not set by KeyValueStore::range(), which reads all pages.
    std::optional<StoreGeneration> generation{}; ///< Generation of the store, to which the revisions belong, if known.
};

struct LeaseGrant
{
    LeaseId id = 0;
    std::chrono::seconds timeToLive{0};
    std::optional<StoreGeneration> generation{}; ///< Generation of the store, to which the lease belongs, if known.
};

struct WatchRequest
{
    std::string prefix;
    std::int64_t startRevision = 0; ///< First revision to report; 0 starts at the current one.
    /** Generation of the start revision, if known; the watch reports no other one. */
    std::optional<StoreGeneration> generation{};
};

/**
 * Interface to the platform's key-value store: compare-and-swap transactions, leases and watches.
 * All functions return immediately. Each callback runs exactly once on the control thread, no later than the request
 * timeout of the implementation. Error codes: Unavailable when the call certainly had no effect, OutcomeUnknown when a
 * write may have taken effect, Overloaded when a limit on the rate or the number of calls rejected the call.
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
