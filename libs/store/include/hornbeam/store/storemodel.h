#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/store/keyvaluestore.h>
#include <hornbeam/store/transaction.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hornbeam {

/** Limits of a StoreModel, by default those of the platform's store. */
struct StoreModelOptions
{
    std::size_t maxValueBytes = 1U << 20; ///< Largest size of a value.
    std::size_t maxOperations = 128; ///< Operations or comparisons in one transaction, not counting nested ones.
    std::size_t maxHistory = 100000; ///< Changes kept for watches with a start revision and for stale reads.
};

/**
 * The state and behaviour of the platform's store without transport and threads: keys with revisions, transactions and
 * leases. The semantics are those of the etcd v3 API: all comparisons of a transaction, including nested ones, see the
 * state before it, and the writes of a transaction share one revision. Deterministic; not thread-safe.
 */
class StoreModel
{
public:
    explicit StoreModel(StoreModelOptions options = {});

    /**
     * Replaces the state by that of @p copy, an earlier copy of this model. Later revisions and lease ids are given out
     * again, and the generation changes.
     */
    void restore(const StoreModel &copy);

    StoreGeneration generation() const
    {
        return m_generation;
    }

    /** The revision of the last change; 1 for an empty store. */
    std::int64_t revision() const
    {
        return m_revision;
    }

    /** Reads keys as they were @p staleness revisions ago, or at the start of the history if that is later. */
    RangeResult range(const RangeRequest &request, std::int64_t staleness = 0) const;

    /**
     * Runs a transaction. InvalidArgument for an oversized transaction or one that writes a key twice; NotFound for a
     * lease that does not exist. A transaction that returns an error changes nothing.
     */
    Result<TransactionResult> commit(const Transaction &transaction);

    /** Grants a lease. A time to live below one second is raised to one second. */
    LeaseGrant grantLease(std::chrono::seconds timeToLive, TimePoint now);

    /** Extends a lease by its time to live. NotFound when it does not exist. */
    Result<LeaseGrant> keepLeaseAlive(LeaseId lease, TimePoint now);

    /** Removes a lease and the keys attached to it. NotFound when it does not exist. */
    Result<bool> revokeLease(LeaseId lease);

    /** Removes the expired leases and the keys attached to them. */
    void expireLeases(TimePoint now);

    /** When the next lease expires, if there is one. */
    std::optional<TimePoint> nextExpiry() const;

    /**
     * Returns the changes under @p prefix with a revision of at least @p startRevision, in order. A deletion has an
     * empty value, createRevision 0 and its own revision in modRevision. Conflict when the history no longer reaches
     * back to @p startRevision, and, unlike etcd, when it is beyond the next revision.
     */
    Result<std::vector<KeyValue>> changesSince(const std::string &prefix, std::int64_t startRevision) const;

private:
    struct Change
    {
        KeyValue entry;
        std::optional<KeyValue> previous;
    };

    struct Lease
    {
        std::chrono::seconds timeToLive{0};
        TimePoint expiry;
        std::set<std::string> keys;
    };

    Result<std::set<std::string>> validate(const Transaction &transaction) const;
    Result<std::set<std::string>> validateBranch(const std::vector<Operation> &operations) const;
    bool holds(const Compare &compare) const;
    bool leaseExists(LeaseId lease) const;

    // chooseBranches() appends to choices whether the comparisons of each transaction hold, nested ones included. The
    // other functions visit the transactions in the same order; nextChoice is the index of the next one's choice.
    void chooseBranches(const Transaction &transaction, std::vector<bool> &choices) const;
    bool leasesExist(const Transaction &transaction, const std::vector<bool> &choices, std::size_t &nextChoice) const;
    TransactionResult run(const Transaction &transaction, const std::vector<bool> &choices, std::size_t &nextChoice);
    OperationResult run(const Operation &operation, const std::vector<bool> &choices, std::size_t &nextChoice);

    void put(const std::string &key, const std::string &value, LeaseId lease);
    void remove(const std::string &key);
    void detachFromLease(const KeyValue &entry);
    void record(KeyValue entry, std::optional<KeyValue> previous);
    void finishWrite();
    void setRevision(TransactionResult &result) const;

    StoreModelOptions m_options;
    StoreGeneration m_generation = 1;
    std::int64_t m_revision = 1;
    bool m_changed = false; ///< A key has changed, so the next finishWrite() advances the revision.
    std::map<std::string, KeyValue> m_entries;
    std::deque<Change> m_history;
    std::int64_t m_firstHistoryRevision = 1; ///< The history is complete from this revision on.
    std::map<LeaseId, Lease> m_leases;
    LeaseId m_nextLease = 1;
};

} // namespace Hornbeam
