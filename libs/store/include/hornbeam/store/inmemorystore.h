#pragma once

#include <hornbeam/base/executor.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/store/keyvaluestore.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Hornbeam {

class StoreModel;

struct InMemoryStoreOptions
{
    Duration requestTimeout = std::chrono::seconds(2); ///< A call that faults delay for this long times out.
};

/** Faults that an InMemoryStore injects. */
struct InMemoryStoreFaults
{
    bool unavailable = false; ///< Calls fail with Unavailable and have no effect; running watches end.
    std::uint32_t loseAnswers = 0; ///< This many writes take effect but report OutcomeUnknown.
    /** Transactions that write a key with this prefix take effect but report OutcomeUnknown; empty matches none. */
    std::string loseAnswersPrefix{};
    std::uint32_t loseRequests = 0; ///< This many writes have no effect and report OutcomeUnknown.
    Duration applyDelay{0}; ///< Time until a call takes effect. A call that has timed out still takes effect.
    Duration answerDelay{0}; ///< Time between the effect of a call and its response.
    std::int64_t staleReads = 0; ///< range() returns the state of this many revisions ago.
};

/** Number of calls to an InMemoryStore, including failed ones. */
struct InMemoryStoreCalls
{
    std::uint64_t reads = 0; ///< range().
    std::uint64_t writes = 0; ///< commit() and the lease calls.
};

/**
 * A key-value store in memory, for tests and for programs that embed the libraries without a platform.
 * Deterministic: revisions and lease IDs count up, and the timer service decides when leases expire. Several handles
 * can share the state of one store, each with its own executor, faults and call counts, to model several nodes.
 * Callbacks are posted to the executor, never called synchronously. Single-threaded.
 */
class InMemoryStore : public KeyValueStore
{
public:
    /** Creates an empty store. The executor must outlive this handle, the timer service all handles. */
    InMemoryStore(Executor &executor, TimerService &timers, InMemoryStoreOptions options = {});

    /** Creates another handle to the state of @p store; delays and leases use the timer service of @p store. */
    InMemoryStore(Executor &executor, const InMemoryStore &store);

    ~InMemoryStore() override;

    void range(RangeRequest request, Callback<RangeResult> callback) override;
    void commit(Transaction transaction, Callback<TransactionResult> callback) override;
    void grantLease(std::chrono::seconds timeToLive, Callback<LeaseGrant> callback) override;
    void keepLeaseAlive(LeaseId lease, Callback<LeaseGrant> callback) override;
    void revokeLease(LeaseId lease, Callback<bool> callback) override;
    [[nodiscard]] std::unique_ptr<Watch> watch(WatchRequest request, WatchListener &listener) override;

    /** Returns a copy of the current state. */
    StoreModel copy() const;

    /**
     * Restores the store from @p copy, an earlier copy of it, for all handles. Calls that have not taken effect yet do
     * so in the restored store; watches of later revisions end with Conflict.
     */
    void restore(const StoreModel &copy);

    /** Replaces the faults of this handle. */
    void setFaults(InMemoryStoreFaults faults);

    const InMemoryStoreFaults &faults() const;
    const InMemoryStoreCalls &calls() const;

    /** The revision of the last change. */
    std::int64_t revision() const;

    StoreGeneration generation() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Hornbeam
