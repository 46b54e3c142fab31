#pragma once

#include <hornbeam/config/storeconfigsource.h>

#include <functional>
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

/** Further documents of the operators, which the read and the watch of the configuration report as well. */
struct FurtherDocuments
{
    std::string prefix; ///< Prefix of their keys and of the configuration's key; empty for none.
    /** Called for each of them when it is read or written; the same one can be reported repeatedly. */
    std::function<void(const KeyValue &)> received;
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
                   ConfigSourceListener &listener,
                   FurtherDocuments further = {});

private:
    void readStore() override;
    void changed(const std::vector<KeyValue> &changes) override;

    void received(const Result<RangeResult> &result);
    void decode(const KeyValue &document);
    const std::string &watchedPrefix() const;

    const std::string m_key;
    const DocumentDecoder &m_decoder;
    const FurtherDocuments m_further;
    std::optional<StoreGeneration> m_decodedGeneration; ///< Store generation of the last decoded document, if known.
    std::int64_t m_decodedRevision = 0; ///< Store revision of the last decoded document, in its generation.
};

} // namespace Hornbeam
