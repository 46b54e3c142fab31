#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/config/configrepository.h>
#include <hornbeam/config/configsource.h>
#include <hornbeam/store/keyvaluestore.h>

#include <cstdint>
#include <memory>

namespace Hornbeam {

/**
 * Reads the configuration head once at start and watches it while the node is a store watcher.
 * Failures are tried again with full jitter, so that a store that comes back is not overrun. Control thread only.
 */
class StoreSync : public ConfigSource, private WatchListener
{
public:
    /** The referenced objects outlive the sync. */
    StoreSync(KeyValueStore &store, TimerService &timers, ConfigSourceListener &listener);
    ~StoreSync() override;

    void start(Duration spread) override;

    void setWatching(bool watching) override;

    /** Otherwise every node of the fleet would call a store that comes back. */
    void stopReading() override;

    bool watching() const override
    {
        return m_watching;
    }

    bool reachable() const override
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
    ConfigSourceListener &m_listener;
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
