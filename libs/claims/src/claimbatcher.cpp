#include "claimbatcher.h"

#include <hornbeam/base/metrics.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Hornbeam {

namespace {

/**
 * New keys are attached to a lease during this fraction of the retention. Its time to live exceeds the retention by the
 * same amount, so that each key lasts at least for the retention.
 */
constexpr int leaseUseDivisor = 8;

bool certainlyHadNoEffect(ErrorCode code)
{
    return code == ErrorCode::Unavailable || code == ErrorCode::Overloaded || code == ErrorCode::NotFound
        || code == ErrorCode::InvalidArgument;
}

Transaction toTransaction(const ClaimWrite &write, LeaseId lease)
{
    const auto field = write.expectedRevision == 0 ? Compare::Field::CreateRevision : Compare::Field::ModRevision;
    return {.compares = {{.key = write.key, .field = field, .revision = write.expectedRevision}},
            .success = {Operation::put(write.key, write.value, lease)},
            .failure = {Operation::get(write.key)}};
}

ClaimWriteOutcome toOutcome(const TransactionResult &result)
{
    ClaimWriteOutcome outcome{.applied = result.succeeded, .revision = result.revision, .current = std::nullopt};
    if (!result.succeeded && !result.results.empty() && !result.results.front().entries.empty()) {
        outcome.current = result.results.front().entries.front();
    }
    return outcome;
}

} // namespace

ClaimBatcher::ClaimBatcher(ClaimBatcherOptions options,
                           KeyValueStore &store,
                           TimerService &timers,
                           MetricsRegistry &metrics)
    : m_options(options)
    , m_store(store)
    , m_timers(timers)
    , m_transactions(metrics.counter("hornbeam_claims_transactions_total", "Claim transactions sent to the store."))
    , m_writes(metrics.counter("hornbeam_claims_writes_total", "Claim writes in these transactions."))
    , m_backoff(options.backoff)
{
}

std::uint64_t ClaimBatcher::submit(ClaimWrite write, Callback callback)
{
    const auto id = m_nextId++;
    m_queue.push_back({.id = id, .write = std::move(write), .callback = std::move(callback)});
    sendNext();
    return id;
}

bool ClaimBatcher::withdraw(std::uint64_t id)
{
    return std::erase_if(m_queue, [id](const Pending &pending) { return pending.id == id; }) > 0;
}

template <typename T>
KeyValueStore::Callback<T> ClaimBatcher::callbackTo(void (ClaimBatcher::*step)(Result<T>))
{
    return [this, step, alive = std::weak_ptr(m_alive)](Result<T> result) {
        if (!alive.expired()) {
            m_busy = false;
            (this->*step)(std::move(result));
        }
    };
}

void ClaimBatcher::sendNext()
{
    if (m_busy || m_backoffTimer) {
        return;
    }
    dropExpired();
    if (m_queue.empty() || m_busy) {
        return;
    }
    m_busy = true;
    if (!isLeaseUsable()) {
        m_leaseRequested = m_timers.now();
        m_store.grantLease(m_options.retention + m_options.retention / leaseUseDivisor,
                           callbackTo(&ClaimBatcher::leaseGranted));
        return;
    }
    fillBatch();
    Transaction transaction;
    for (const auto &pending : m_batch) {
        transaction.success.push_back(Operation::transaction(toTransaction(pending.write, m_lease)));
    }
    m_transactions.add();
    m_writes.add(m_batch.size());
    m_store.commit(std::move(transaction), callbackTo(&ClaimBatcher::committed));
}

void ClaimBatcher::dropExpired()
{
    const auto expired = [now = m_timers.now()](const Pending &pending) {
        return pending.write.expiresAt <= now;
    };
    const auto end = std::stable_partition(m_queue.begin(), m_queue.end(), std::not_fn(expired));
    std::vector<Pending> dropped(std::make_move_iterator(end), std::make_move_iterator(m_queue.end()));
    m_queue.erase(end, m_queue.end());
    for (const auto &pending : dropped) {
        pending.callback(makeError(ErrorCode::Cancelled, "the store did not accept the write in time"));
    }
}

bool ClaimBatcher::isLeaseUsable() const
{
    return m_lease != 0 && m_timers.now() - m_leaseStart < m_options.retention / leaseUseDivisor;
}

void ClaimBatcher::leaseGranted(Result<LeaseGrant> result)
{
    if (result) {
        m_lease = result->id;
        m_leaseStart = m_leaseRequested;
    } else {
        backOff();
    }
    sendNext();
}

// Takes writes in order. A transaction writes a key only once, so a second write of a key waits for the next one.
void ClaimBatcher::fillBatch()
{
    std::set<std::string> keys;
    std::deque<Pending> waiting;
    std::size_t bytes = 0;
    for (auto &pending : m_queue) {
        const std::size_t size = pending.write.key.size() + pending.write.value.size();
        const bool fits =
            m_batch.size() < m_options.maxBatch && (m_batch.empty() || bytes + size <= m_options.maxBatchBytes);
        if (keys.insert(pending.write.key).second && fits) {
            bytes += size;
            m_batch.push_back(std::move(pending));
        } else {
            waiting.push_back(std::move(pending));
        }
    }
    m_queue = std::move(waiting);
}

void ClaimBatcher::committed(Result<TransactionResult> result)
{
    if (!result && certainlyHadNoEffect(result.error().code())) {
        // The transaction had no effect, so its writes are queued again and can still be withdrawn.
        if (result.error().code() == ErrorCode::NotFound) {
            m_lease = 0; // The store no longer knows the lease, for example after a restore from a backup.
        }
        requeueBatch();
        backOff();
        return;
    }
    const auto batch = std::exchange(m_batch, {});
    // Writes that the callbacks submit are sent in one transaction after all callbacks have run.
    m_busy = true;
    if (result && result->results.size() == batch.size()) {
        m_backoff.reset();
        for (std::size_t i = 0; i < batch.size(); ++i) {
            const auto &nested = result->results[i].nested;
            batch[i].callback(toOutcome(nested.empty() ? TransactionResult{} : nested.front()));
        }
    } else {
        backOff();
        for (const auto &pending : batch) {
            pending.callback(makeError(ErrorCode::OutcomeUnknown, "the response of the store was lost"));
        }
    }
    m_busy = false;
    sendNext();
}

void ClaimBatcher::requeueBatch()
{
    auto batch = std::exchange(m_batch, {});
    m_queue.insert(m_queue.begin(), std::make_move_iterator(batch.begin()), std::make_move_iterator(batch.end()));
}

void ClaimBatcher::backOff()
{
    m_backoffTimer = m_timers.once(m_backoff.next(), [this] {
        m_backoffTimer.reset();
        sendNext();
    });
}

} // namespace Hornbeam
