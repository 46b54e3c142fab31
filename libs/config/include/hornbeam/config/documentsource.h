#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/config/configsource.h>
#include <hornbeam/store/keyvaluestore.h>

#include <memory>
#include <string>

namespace Hornbeam {

/** Reads a configuration that operators wrote in a format of their own. */
class DocumentDecoder
{
public:
    virtual ~DocumentDecoder() = default;

    /** InvalidArgument when the document is malformed or not valid; nothing of it is used then. */
    virtual Result<SnapshotPtr> decode(std::string_view document) const = 0;
};

/**
 * Reads a configuration that operators keep as one document under one key of the store, and watches the key. What they
 * write there is in effect without a plan. Failures are tried again with full jitter. Control thread only.
 */
class DocumentSource : public ConfigSource, private WatchListener
{
public:
    /** The referenced objects outlive the source. */
    DocumentSource(std::string key,
                   const DocumentDecoder &decoder,
                   KeyValueStore &store,
                   TimerService &timers,
                   ConfigSourceListener &listener);
    ~DocumentSource() override;

    void start(Duration spread) override;
    void setWatching(bool watching) override;
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

    void read();
    void received(const Result<RangeResult> &result);
    void decode(const KeyValue &document);
    void retryLater();
    void setReachable(bool reachable);

    const std::string m_key;
    const DocumentDecoder &m_decoder;
    KeyValueStore &m_store;
    TimerService &m_timers;
    ConfigSourceListener &m_listener;
    Backoff m_backoff;
    TimerHandle m_retry;
    std::unique_ptr<Watch> m_watch;
    std::shared_ptr<bool> m_alive; ///< Lets answers that arrive after the destruction be ignored.
    std::int64_t m_decodedRevision = 0; ///< Of the document that was decoded last.
    bool m_watching = false;
    bool m_reading = false;
    bool m_readingNeeded = true;
    bool m_reachable = false;
};

} // namespace Hornbeam
