#pragma once

#include <hornbeam/base/executor.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/store/keyvaluestore.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Hornbeam {

struct InMemoryStoreOptions
{
    Duration requestTimeout = std::chrono::seconds(2); ///< Longest wait for an answer that is delayed or lost.
};

/** What an InMemoryStore does wrong on purpose. */
struct InMemoryStoreFaults
{
    bool unavailable = false; ///< Refuses calls with Unavailable and without effect; running watches end.
    std::uint32_t loseAnswers = 0; ///< The next writes take effect, but report OutcomeUnknown.
    std::string loseAnswersPrefix{}; ///< Writes of a key with this prefix always lose their answer; empty matches none.
    std::uint32_t loseRequests = 0; ///< The next writes have no effect and report OutcomeUnknown.
    Duration applyDelay{0}; ///< Time until a call takes effect. The call times out when it exceeds the timeout.
    Duration answerDelay{0}; ///< Time between the effect of a call and its answer.
    std::int64_t staleReads = 0; ///< range() answers from this many revisions ago.
};

/** Calls that an InMemoryStore received, including refused ones. */
struct InMemoryStoreCalls
{
    std::uint64_t reads = 0; ///< range().
    std::uint64_t writes = 0; ///< commit() and the lease calls.
};

/**
 * A store inside the process, for tests and for programs that embed the libraries without a platform.
 * Deterministic: revisions and lease ids count up, and leases follow the timer service. Several handles can share the
 * state of one store, each with its own executor, timers and faults, which models several nodes.
 * Callbacks are posted to the executor, never called synchronously. Single-threaded.
 */
class InMemoryStore : public KeyValueStore
{
public:
    /** Creates an empty store. The executor outlives this handle, the timer service outlives all handles. */
    InMemoryStore(Executor &executor, TimerService &timers, InMemoryStoreOptions options = {});

    /** Creates another handle to the state of @p store; delays and leases keep following its timer service. */
    InMemoryStore(Executor &executor, const InMemoryStore &store);

    ~InMemoryStore() override;

    void range(RangeRequest request, Callback<RangeResult> callback) override;
    void commit(Transaction transaction, Callback<TransactionResult> callback) override;
    void grantLease(std::chrono::seconds timeToLive, Callback<LeaseGrant> callback) override;
    void keepLeaseAlive(LeaseId lease, Callback<LeaseGrant> callback) override;
    void revokeLease(LeaseId lease, Callback<bool> callback) override;
    [[nodiscard]] std::unique_ptr<Watch> watch(WatchRequest request, WatchListener &listener) override;

    /** Replaces the faults of this handle. */
    void setFaults(InMemoryStoreFaults faults);

    const InMemoryStoreFaults &faults() const;
    const InMemoryStoreCalls &calls() const;

    /** The revision of the last change. */
    std::int64_t revision() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Hornbeam
