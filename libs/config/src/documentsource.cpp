#include <hornbeam/config/documentsource.h>

#include <algorithm>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

// Short, so that changes still take effect in the permitted time once the store is reachable again after an outage.
constexpr BackoffOptions retryBackoff = {.initial = 100ms, .maximum = 1s};

} // namespace

DocumentSource::DocumentSource(std::string key,
                               const DocumentDecoder &decoder,
                               KeyValueStore &store,
                               TimerService &timers,
                               ConfigSourceListener &listener,
                               FurtherDocuments further)
    : StoreConfigSource(store, timers, listener, retryBackoff)
    , m_key(std::move(key))
    , m_decoder(decoder)
    , m_further(std::move(further))
{
}

void DocumentSource::readStore()
{
    store().range({.key = watchedPrefix(), .prefix = !m_further.prefix.empty()},
                  [this, alive = alive()](const Result<RangeResult> &result) {
                      if (*alive) {
                          received(result);
                      }
                  });
}

const std::string &DocumentSource::watchedPrefix() const
{
    return m_further.prefix.empty() ? m_key : m_further.prefix;
}

void DocumentSource::received(const Result<RangeResult> &result)
{
    if (!result) {
        readFailed();
        return;
    }
    readSucceeded(result->generation);
    for (const auto &entry : result->entries) {
        decode(entry);
    }
    if (watching()) {
        watchFrom(watchedPrefix(), result->revision + 1);
    } else if (std::none_of(result->entries.begin(), result->entries.end(), [this](const KeyValue &it) {
                   return it.key == m_key;
               })) {
        readAgain();
    }
}

void DocumentSource::decode(const KeyValue &document)
{
    if (document.key != m_key) {
        if (m_further.received) {
            m_further.received(document);
        }
        return;
    }
    // The same revision can be read repeatedly; it is decoded only once. A lower one is decoded, because a restored
    // store gives revisions out again; the listener ignores versions older than the one in effect.
    if (document.modRevision == m_decodedRevision && generation() == m_decodedGeneration) {
        return;
    }
    m_decodedGeneration = generation();
    m_decodedRevision = document.modRevision;
    const auto snapshot = m_decoder.decode(document.value);
    if (!snapshot) {
        listener().configurationRefused(snapshot.error());
        return;
    }
    listener().receivedStoreVersion((*snapshot)->version());
    listener().receivedSnapshot(*snapshot);
}

void DocumentSource::changed(const std::vector<KeyValue> &changes)
{
    for (const auto &change : changes) {
        // Operators do not delete their configuration; if it is deleted, the current one stays in effect.
        if (!change.value.empty()) {
            decode(change);
        }
    }
}

} // namespace Hornbeam
