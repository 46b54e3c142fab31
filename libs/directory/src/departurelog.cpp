#include <hornbeam/directory/departurelog.h>

#include "departurerecord.h"

#include <utility>

namespace Hornbeam {

DepartureLog::DepartureLog(
    DepartureLogOptions options, KeyValueStore &store, TimerService &timers, Source source, ReadListener read)
    : m_options(std::move(options))
    , m_store(store)
    , m_timers(timers)
    , m_source(std::move(source))
    , m_readListener(std::move(read))
    , m_key(m_options.prefix + m_options.address.toString())
    , m_readBackoff(m_options.retry)
    , m_writeBackoff(m_options.retry)
    , m_alive(std::make_shared<bool>(true))
{
}

DepartureLog::~DepartureLog()
{
    *m_alive = false;
}

void DepartureLog::start()
{
    readKey();
}

void DepartureLog::readKey()
{
    m_store.range({.key = m_key}, [this, alive = m_alive](const Result<RangeResult> &result) {
        if (!*alive) {
            return;
        }
        if (!result) {
            m_readTimer = m_timers.once(m_readBackoff.next(), [this] { readKey(); });
            return;
        }
        m_read = true;
        m_readListener(result->entries.empty() ? std::vector<Departure>()
                                               : decodeDepartures(result->entries.front().value));
        if (m_changes > m_recordedChange) {
            grantLease();
        }
    });
}

void DepartureLog::write()
{
    ++m_changes;
    if (m_read && !m_writing) {
        grantLease();
    }
}

void DepartureLog::grantLease()
{
    m_writing = true;
    m_store.grantLease(m_options.timeToLive, [this, alive = m_alive](const Result<LeaseGrant> &grant) {
        if (!*alive) {
            return;
        }
        if (grant) {
            writeKey(*grant);
        } else {
            retryWrite();
        }
    });
}

void DepartureLog::writeKey(const LeaseGrant &grant)
{
    Transaction transaction;
    transaction.success.push_back(Operation::put(m_key, encodeDepartures(m_source()), grant.id));
    m_store.commit(std::move(transaction),
                   [this, alive = m_alive, change = m_changes, grant](const Result<TransactionResult> &result) {
                       if (!*alive) {
                           return;
                       }
                       // After a restoration of the store, the lease may belong to another node. Writing again is
                       // idempotent.
                       if (result && !isRestoration(grant.generation, result->generation)) {
                           written(change);
                       } else {
                           retryWrite();
                       }
                   });
}

void DepartureLog::written(std::uint64_t change)
{
    m_writing = false;
    m_recordedChange = change;
    m_writeBackoff.reset();
    releaseWaiters();
    if (m_changes > m_recordedChange) {
        grantLease();
    }
}

void DepartureLog::retryWrite()
{
    m_writeTimer = m_timers.once(m_writeBackoff.next(), [this] { grantLease(); });
}

void DepartureLog::whenRecorded(std::function<void()> recorded)
{
    if (m_recordedChange == m_changes) {
        recorded();
        return;
    }
    m_waiters.push_back(
        {.change = m_changes, .latest = m_timers.now() + m_options.maxWait, .recorded = std::move(recorded)});
    if (m_waiters.size() == 1) {
        scheduleWaiters();
    }
}

void DepartureLog::releaseWaiters()
{
    const auto now = m_timers.now();
    const auto isDue = [&](const Waiter &it) {
        return it.change <= m_recordedChange || it.latest <= now;
    };
    // Both the changes and the time limits of the waiters are in ascending order.
    while (!m_waiters.empty() && isDue(m_waiters.front())) {
        const auto recorded = std::move(m_waiters.front().recorded);
        m_waiters.erase(m_waiters.begin());
        recorded();
    }
    scheduleWaiters();
}

void DepartureLog::scheduleWaiters()
{
    m_waitTimer.reset();
    if (!m_waiters.empty()) {
        m_waitTimer = m_timers.once(m_waiters.front().latest - m_timers.now(), [this] { releaseWaiters(); });
    }
}

} // namespace Hornbeam
