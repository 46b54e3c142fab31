#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/config/configsource.h>
#include <hornbeam/store/keyvaluestore.h>

#include <memory>
#include <optional>
#include <string>

namespace Hornbeam {

/**
 * Base class of sources that read from a KeyValueStore. It decides when to read, retry and watch, and tracks whether
 * the store is reachable; derived classes decide what to read. Retries have full jitter, so that the nodes do not
 * overload a store that becomes reachable again. Control thread only.
 */
class StoreConfigSource : public ConfigSource, protected WatchListener
{
public:
    ~StoreConfigSource() override;

    void start(Duration spread) override;
    void setWatching(bool watching) override;

    /** Without this, every node of the fleet would read from a store that becomes reachable again. */
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
    /** The referenced objects must outlive the source. @p retryBackoff sets the delays before retries. */
    StoreConfigSource(KeyValueStore &store,
                      TimerService &timers,
                      ConfigSourceListener &listener,
                      BackoffOptions retryBackoff);

    /** Starts to read the newest version; each read must end with readSucceeded() or readFailed(). */
    virtual void readStore() = 0;

    /** @p generation is that of the store at the time of the read, if the response has it. */
    void readSucceeded(std::optional<StoreGeneration> generation);
    void readFailed();

    /**
     * Starts a watch of the keys with @p prefix if setWatching() has enabled it. @p revision belongs to the generation
     * of the last read.
     */
    void watchFrom(const std::string &prefix, std::int64_t revision);

    /** Ends any running watch and reads the store after a delay. */
    void readAgain();

    /** Reads again after a delay, which is short if the watch has worked. */
    void ended(const Error &error) override;

    /** Generation of the store at the last read, if its response had it. */
    std::optional<StoreGeneration> generation() const
    {
        return m_readGeneration;
    }

    KeyValueStore &store() const
    {
        return m_store;
    }

    ConfigSourceListener &listener() const
    {
        return m_listener;
    }

    /** Points to false once the source is destroyed; callbacks that run later must ignore their result. */
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
    TimePoint m_watchStarted{};
    std::optional<StoreGeneration> m_readGeneration; ///< Of the last read.
    std::optional<StoreGeneration> m_knownGeneration; ///< Of the last read whose generation is known.
    bool m_watching = false;
    bool m_reading = false;
    bool m_readingNeeded = true; ///< Whether to read the store even when not watching.
    bool m_reachable = false;
};

} // namespace Hornbeam
