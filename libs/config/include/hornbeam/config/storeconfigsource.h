#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/config/configsource.h>
#include <hornbeam/store/keyvaluestore.h>

#include <memory>
#include <string>

namespace Hornbeam {

/**
 * The part that all sources in a store share: when it is read, read again after a failure and watched, and whether it
 * is reachable. What is read is left to the derived class. Failures are tried again with full jitter, so that a store
 * that comes back is not overrun. Control thread only.
 */
class StoreConfigSource : public ConfigSource, protected WatchListener
{
public:
    ~StoreConfigSource() override;

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

protected:
    /** The referenced objects outlive the source. @p retryBackoff: delays before a failed read is tried again. */
    StoreConfigSource(KeyValueStore &store,
                      TimerService &timers,
                      ConfigSourceListener &listener,
                      BackoffOptions retryBackoff);

    /** Begins to read the newest version; each read ends with readSucceeded() or readFailed(). */
    virtual void readStore() = 0;

    void readSucceeded();
    void readFailed();

    /** Watches the keys below @p prefix while the node is to watch; otherwise does nothing. */
    void watchFrom(const std::string &prefix, std::int64_t revision);

    /** Ends the watch, if there is one, and reads the store after a delay. */
    void readAgain();

    /** Reads at once where the store has dropped the history that the watch needs, and after a delay otherwise. */
    void ended(const Error &error) override;

    KeyValueStore &store() const
    {
        return m_store;
    }

    ConfigSourceListener &listener() const
    {
        return m_listener;
    }

    /** False once the source is destroyed; answers that arrive afterwards are ignored. */
    std::shared_ptr<const bool> alive() const
    {
        return m_alive;
    }

private:
    void read();
    void setReachable(bool reachable);

    KeyValueStore &m_store;
    TimerService &m_timers;
    ConfigSourceListener &m_listener;
    Backoff m_backoff;
    TimerHandle m_retry;
    std::unique_ptr<Watch> m_watch;
    std::shared_ptr<bool> m_alive;
    bool m_watching = false;
    bool m_reading = false;
    bool m_readingNeeded = true; ///< Whether the node reads the store although it does not watch.
    bool m_reachable = false;
};

} // namespace Hornbeam
