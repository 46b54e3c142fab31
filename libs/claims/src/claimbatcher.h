#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/store/keyvaluestore.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

class Counter;
class MetricsRegistry;

/** A compare-and-swap of one key. A write that is repeated has no second effect. */
struct ClaimWrite
{
    std::string key;
    std::int64_t expectedRevision = 0; ///< Mod revision of the key; 0 when the key must not exist.
    std::string value;
    TimePoint giveUp; ///< After this time the write is dropped instead of being sent.
};

struct ClaimWriteOutcome
{
    bool applied = false;
    std::int64_t revision = 0; ///< Mod revision of the key when applied.
    std::optional<KeyValue> current; ///< The key's entry when not applied; nothing when the key does not exist.
};

struct ClaimBatcherOptions
{
    std::size_t maxBatch = 64;
    std::size_t maxBatchBytes = 0;
    std::chrono::seconds retention{0};
    BackoffOptions backoff;
};

/**
 * Group commit of independent compare-and-swap writes: one transaction at a time is in flight, and the writes that
 * arrive meanwhile join the next one. Keys are attached to a lease that lasts for at least the retention and is
 * replaced before it is older than an eighth of it. Control thread only.
 */
class ClaimBatcher
{
public:
    using Callback = std::function<void(Result<ClaimWriteOutcome>)>;

    ClaimBatcher(ClaimBatcherOptions options, KeyValueStore &store, TimerService &timers, MetricsRegistry &metrics);

    /**
     * Queues a write. It is sent again until the store certainly had it or its give-up time has passed. Errors:
     * OutcomeUnknown when the write may have taken effect or still may, Cancelled when it was dropped without effect.
     */
    std::uint64_t submit(ClaimWrite write, Callback callback);

    /** Removes a write that is not in flight; its callback is not called. False when it is in flight or done. */
    bool withdraw(std::uint64_t id);

    /** Writes that wait for the next transaction. */
    std::size_t queued() const
    {
        return m_queue.size();
    }

private:
    struct Pending
    {
        std::uint64_t id = 0;
        ClaimWrite write;
        Callback callback;
    };

    template <typename T>
    KeyValueStore::Callback<T> guarded(void (ClaimBatcher::*step)(Result<T>));

    void pump();
    void dropOverdue();
    bool leaseUsable() const;
    void leaseGranted(Result<LeaseGrant> result);
    void takeBatch();
    void committed(Result<TransactionResult> result);
    void requeueBatch();
    void pause();

    ClaimBatcherOptions m_options;
    KeyValueStore &m_store;
    TimerService &m_timers;
    Counter &m_transactions;
    Counter &m_writes;
    Backoff m_backoff;
    std::deque<Pending> m_queue;
    std::vector<Pending> m_batch; ///< The writes in flight.
    bool m_busy = false; ///< A store call is in flight.
    std::uint64_t m_nextId = 1;
    LeaseId m_lease = 0;
    TimePoint m_leaseRequested; ///< When the running request for a lease was sent.
    TimePoint m_leaseStart; ///< When the request that granted the lease was sent.
    TimerHandle m_pause; ///< Set while the store is left alone after a failure.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace Hornbeam
