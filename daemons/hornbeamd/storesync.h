#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/config/configrepository.h>
#include <hornbeam/store/keyvaluestore.h>

#include <cstdint>
#include <memory>

namespace Hornbeam {

/** Receives the versions that the store reports. */
class StoreSyncListener
{
public:
    virtual ~StoreSyncListener() = default;

    /** The configuration that the node has now; deltas and pieces are read relative to it. */
    virtual SnapshotPtr currentSnapshot() const = 0;

    virtual void receivedSnapshot(const SnapshotPtr &snapshot) = 0;

    /** The store was read successfully; @p version is the version of its head. */
    virtual void storeAnswered(ConfigVersion version) = 0;

    /** The store became reachable or unreachable; called at changes only. */
    virtual void storeReachable(bool reachable) = 0;
};

/**
 * Reads the configuration head once at start and watches it while the node is a store watcher.
 * Failures are tried again with full jitter, so that a store that comes back is not overrun. Control thread only.
 */
class StoreSync : private WatchListener
{
public:
    /** The referenced objects outlive the sync. */
    StoreSync(KeyValueStore &store, TimerService &timers, StoreSyncListener &listener);
    ~StoreSync() override;

    /** Reads the head after a random part of @p spread, which keeps a herd of starting nodes apart. */
    void start(Duration spread);

    /** Starts or stops watching. */
    void setWatching(bool watching);

    /**
     * Ends the attempts of a node that does not watch: it has its configuration from peers. Otherwise every node of
     * the fleet would call a store that comes back.
     */
    void stopReading();

    bool watching() const
    {
        return m_watching;
    }

    bool reachable() const
    {
        return m_reachable;
    }

private:
    void changed(const std::vector<KeyValue> &changes) override;
    void ended(const Error &error) override;

    void readHead();
    void receivedHead(const Result<ConfigHead> &head);
    void load(const ConfigHead &head);
    void watchFrom(std::int64_t revision);
    void retryLater();
    void setReachable(bool reachable);

    KeyValueStore &m_store;
    ConfigRepository m_repository;
    TimerService &m_timers;
    StoreSyncListener &m_listener;
    Backoff m_backoff;
    TimerHandle m_retry;
    std::unique_ptr<Watch> m_watch;
    std::shared_ptr<bool> m_alive; ///< Lets answers that arrive after the destruction be ignored.
    bool m_watching = false;
    bool m_reading = false;
    bool m_readingNeeded = true; ///< Whether the node reads the head although it does not watch.
    bool m_reachable = false;
};

} // namespace Hornbeam
