#include <hornbeam/config/documentsource.h>

#include <random>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

// Short enough for a change to be in effect within its bound after the store has come back.
constexpr BackoffOptions retryBackoff = {.initial = 100ms, .maximum = 1s};

} // namespace

DocumentSource::DocumentSource(std::string key,
                               const DocumentDecoder &decoder,
                               KeyValueStore &store,
                               TimerService &timers,
                               ConfigSourceListener &listener)
    : m_key(std::move(key))
    , m_decoder(decoder)
    , m_store(store)
    , m_timers(timers)
    , m_listener(listener)
    , m_backoff(retryBackoff)
    , m_alive(std::make_shared<bool>(true))
{
}

DocumentSource::~DocumentSource()
{
    *m_alive = false;
}

void DocumentSource::start(Duration spread)
{
    std::random_device device;
    const Duration delay(std::uniform_int_distribution<Duration::rep>(0, spread.count())(device));
    m_retry = m_timers.once(delay, [this] { read(); });
}

void DocumentSource::setWatching(bool watching)
{
    if (watching == m_watching) {
        return;
    }
    m_watching = watching;
    m_watch.reset();
    if (watching) {
        m_retry.reset();
        read();
    }
}

void DocumentSource::stopReading()
{
    m_readingNeeded = false;
}

void DocumentSource::read()
{
    if (m_reading || !(m_watching || m_readingNeeded)) {
        return;
    }
    m_reading = true;
    m_store.range({.key = m_key}, [this, alive = m_alive](const Result<RangeResult> &result) {
        if (*alive) {
            m_reading = false;
            received(result);
        }
    });
}

void DocumentSource::received(const Result<RangeResult> &result)
{
    setReachable(result.has_value());
    if (!result) {
        retryLater();
        return;
    }
    m_backoff.reset();
    for (const auto &entry : result->entries) {
        decode(entry);
    }
    if (m_watching) {
        m_watch = m_store.watch({.prefix = m_key, .startRevision = result->revision + 1}, *this);
    } else if (result->entries.empty()) {
        retryLater();
    }
}

void DocumentSource::decode(const KeyValue &document)
{
    // A document is written again by a change only; reading the same one twice would cost its decoding for nothing.
    if (document.key != m_key || document.modRevision <= m_decodedRevision) {
        return;
    }
    m_decodedRevision = document.modRevision;
    const auto snapshot = m_decoder.decode(document.value);
    if (!snapshot) {
        m_listener.configurationRefused(snapshot.error());
        return;
    }
    m_listener.storeAnswered((*snapshot)->version());
    m_listener.receivedSnapshot(*snapshot);
}

void DocumentSource::changed(const std::vector<KeyValue> &changes)
{
    for (const auto &change : changes) {
        // The operators do not remove their configuration; a removal leaves the one in effect as it is.
        if (!change.value.empty()) {
            decode(change);
        }
    }
}

void DocumentSource::ended(const Error &error)
{
    m_watch.reset();
    if (error.code() == ErrorCode::Conflict) {
        read();
    } else {
        retryLater();
    }
}

void DocumentSource::retryLater()
{
    m_retry = m_timers.once(m_backoff.next(), [this] { read(); });
}

void DocumentSource::setReachable(bool reachable)
{
    if (reachable != m_reachable) {
        m_reachable = reachable;
        m_listener.storeReachable(reachable);
    }
}

} // namespace Hornbeam
