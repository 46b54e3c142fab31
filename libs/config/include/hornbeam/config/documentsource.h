#pragma once

#include <hornbeam/config/storeconfigsource.h>

#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam {

/** Decodes a configuration document in an operator-defined format. */
class DocumentDecoder
{
public:
    virtual ~DocumentDecoder() = default;

    /** InvalidArgument when the document is malformed or invalid; no part of it is used then. */
    virtual Result<SnapshotPtr> decode(std::string_view document) const = 0;
};

/**
 * Reads and watches a configuration that operators keep as one document under one key of the store. A document takes
 * effect as soon as it is written, without a plan.
 */
class DocumentSource : public StoreConfigSource
{
public:
    /** The referenced objects must outlive the source. */
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
    std::optional<StoreGeneration> m_decodedGeneration; ///< Store generation of the last decoded document, if known.
    std::int64_t m_decodedRevision = 0; ///< Store revision of the last decoded document, in its generation.
};

} // namespace Hornbeam
