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

/** A compare-and-swap of one key. Repeating it has no further effect. */
struct ClaimWrite
{
    std::string key;
    std::int64_t expectedRevision = 0; ///< Expected mod revision of the key; 0 if the key must not exist.
    std::string value;
    TimePoint expiresAt; ///< From this time on, the write is dropped instead of being sent.
};

struct ClaimWriteOutcome
{
    bool applied = false;
    std::int64_t revision = 0; ///< New mod revision of the key if applied.
    std::optional<KeyValue> current; ///< Current entry of the key if not applied; nothing if it does not exist.
};

struct ClaimBatcherOptions
{
    std::size_t maxBatch = 64;
    std::size_t maxBatchBytes = 0;
    std::chrono::seconds retention{0};
    BackoffOptions backoff;
};

/**
 * Group commit for independent compare-and-swap writes: one transaction is in flight at a time, and writes that arrive
 * meanwhile are sent with the next one. Keys are attached to a lease that lasts longer than the retention; the lease is
 * replaced when its age reaches an eighth of the retention. Control thread only.
 */
class ClaimBatcher
{
public:
    using Callback = std::function<void(Result<ClaimWriteOutcome>)>;

    ClaimBatcher(ClaimBatcherOptions options, KeyValueStore &store, TimerService &timers, MetricsRegistry &metrics);

    /**
     * Queues a write and returns its id. The write is retried until it may have reached the store or has expired.
     * Errors: OutcomeUnknown if it may have taken effect or may still do so, Cancelled if it expired without effect.
     */
    std::uint64_t submit(ClaimWrite write, Callback callback);

    /** Removes a queued write without calling its callback. Returns false if the write is in flight or done. */
    bool withdraw(std::uint64_t id);

    /** Number of writes that wait for the next transaction. */
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

    /** A store callback that calls @p step, unless this object has been destroyed. */
    template <typename T>
    KeyValueStore::Callback<T> callbackTo(void (ClaimBatcher::*step)(Result<T>));

    void sendNext();
    void dropExpired();
    bool isLeaseUsable() const;
    void leaseGranted(Result<LeaseGrant> result);
    void fillBatch();
    void committed(Result<TransactionResult> result);
    void requeueBatch();
    void backOff();

    ClaimBatcherOptions m_options;
    KeyValueStore &m_store;
    TimerService &m_timers;
    Counter &m_transactions;
    Counter &m_writes;
    Backoff m_backoff;
    std::deque<Pending> m_queue;
    std::vector<Pending> m_batch; ///< Writes in flight.
    bool m_busy = false; ///< A store call is in flight.
    std::uint64_t m_nextId = 1;
    LeaseId m_lease = 0;
    TimePoint m_leaseRequested; ///< When the last request for a lease was sent.
    TimePoint m_leaseStart; ///< When the request for the current lease was sent.
    TimerHandle m_backoffTimer; ///< Set during the backoff after a failed store call.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace Hornbeam
