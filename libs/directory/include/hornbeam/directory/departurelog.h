#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/departure.h>
#include <hornbeam/store/keyvaluestore.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

/** Parameters of the record of this host's departures. */
struct DepartureLogOptions
{
    Endpoint address; ///< Address of the node, which stays the same when its process is restarted.
    std::string prefix = "hornbeamring/departures/"; ///< Prefix of the keys in the store.
    std::chrono::seconds timeToLive{600}; ///< Lifetime of the record after its last write.
    Duration maxWait = std::chrono::milliseconds(700); ///< Longest delay of the callback of whenRecorded().
    BackoffOptions retry{.initial = std::chrono::milliseconds(100), .maximum = std::chrono::seconds(2)};
};

/**
 * Keeps the departures of the targets on this host in the store, so that a restarted node does not use a target again
 * whose leaving an earlier process has acknowledged. A host has one key, whose value has all of its departures. It is
 * written only after it has been read, so that a new process does not overwrite what it has not read yet.
 * Control thread only.
 */
class DepartureLog
{
public:
    /** Returns the departures to write. */
    using Source = std::function<std::vector<Departure>()>;

    /** Called once, with the departures that the store had at the start. */
    using ReadListener = std::function<void(const std::vector<Departure> &)>;

    /** The referenced objects must outlive the log. */
    DepartureLog(
        DepartureLogOptions options, KeyValueStore &store, TimerService &timers, Source source, ReadListener read);
    ~DepartureLog();

    /** Reads the record, and repeats the read until it succeeds. */
    void start();

    /** Writes the departures that the source then returns, and repeats the write until it succeeds. */
    void write();

    /**
     * Calls @p recorded once all changes up to now are in the store, at the latest after DepartureLogOptions::maxWait:
     * a target that leaves must not wait for a store that is down. Calls it immediately if no write is outstanding.
     */
    void whenRecorded(std::function<void()> recorded);

private:
    struct Waiter
    {
        std::uint64_t change = 0;
        TimePoint latest;
        std::function<void()> recorded;
    };

    void readKey();
    void grantLease();
    void writeKey(const LeaseGrant &grant);
    void written(std::uint64_t change);
    void retryWrite();
    void releaseWaiters();
    void scheduleWaiters();

    const DepartureLogOptions m_options;
    KeyValueStore &m_store;
    TimerService &m_timers;
    const Source m_source;
    const ReadListener m_readListener;
    const std::string m_key;
    Backoff m_readBackoff;
    Backoff m_writeBackoff;
    bool m_read = false;
    bool m_writing = false; ///< A write or its repetition is in progress.
    std::uint64_t m_changes = 0; ///< Counts calls of write().
    std::uint64_t m_recordedChange = 0; ///< The last of them that the store has.
    std::vector<Waiter> m_waiters; ///< In the order of their time limits.
    TimerHandle m_readTimer;
    TimerHandle m_writeTimer;
    TimerHandle m_waitTimer;
    std::shared_ptr<bool> m_alive; ///< False after destruction; callbacks of the store then do nothing.
};

} // namespace Hornbeam
