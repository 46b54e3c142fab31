#pragma once

#include <hornbeam/config/storeconfigsource.h>

#include <string>
#include <string_view>

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
 * write there is in effect without a plan.
 */
class DocumentSource : public StoreConfigSource
{
public:
    /** The referenced objects outlive the source. */
    DocumentSource(std::string key,
                   const DocumentDecoder &decoder,
                   KeyValueStore &store,
                   TimerService &timers,
                   ConfigSourceListener &listener);

private:
    void readStore() override;
    void changed(const std::vector<KeyValue> &changes) override;

    void received(const Result<RangeResult> &result);
    void decode(const KeyValue &document);

    const std::string m_key;
    const DocumentDecoder &m_decoder;
    std::int64_t m_decodedRevision = 0; ///< Of the document that was decoded last.
};

} // namespace Hornbeam
