#include "storesync.h"

#include <random>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

constexpr BackoffOptions retryBackoff = {.initial = 250ms, .maximum = 2s};

Duration randomPart(Duration spread)
{
    std::uniform_int_distribution<Duration::rep> part(0, spread.count());
    std::random_device device;
    return Duration(part(device));
}

} // namespace

StoreSync::StoreSync(KeyValueStore &store, TimerService &timers, ConfigSourceListener &listener)
    : m_store(store)
    , m_repository(store)
    , m_timers(timers)
    , m_listener(listener)
    , m_backoff(retryBackoff)
    , m_alive(std::make_shared<bool>(true))
{
}

StoreSync::~StoreSync()
{
    *m_alive = false;
}

void StoreSync::start(Duration spread)
{
    m_retry = m_timers.once(randomPart(spread), [this] { readHead(); });
}

void StoreSync::setWatching(bool watching)
{
    if (watching == m_watching) {
        return;
    }
    m_watching = watching;
    m_watch.reset();
    if (watching) {
        m_retry.reset();
        readHead();
    }
}

void StoreSync::stopReading()
{
    m_readingNeeded = false;
}

void StoreSync::readHead()
{
    if (m_reading || !(m_watching || m_readingNeeded)) {
        return;
    }
    m_reading = true;
    m_repository.readHead([this, alive = m_alive](const Result<ConfigHead> &head) {
        if (*alive) {
            m_reading = false;
            receivedHead(head);
        }
    });
}

void StoreSync::receivedHead(const Result<ConfigHead> &head)
{
    setReachable(head.has_value());
    if (!head) {
        retryLater();
        return;
    }
    m_backoff.reset();
    m_listener.storeAnswered(head->version);
    if (head->version > m_listener.currentSnapshot()->version()) {
        load(*head);
    }
    if (m_watching) {
        watchFrom(head->modRevision + 1);
    }
}

void StoreSync::load(const ConfigHead &head)
{
    const auto known = m_listener.currentSnapshot();
    m_repository.loadSnapshot(head, known, [this, alive = m_alive](const Result<SnapshotPtr> &snapshot) {
        if (!*alive) {
            return;
        }
        if (snapshot) {
            m_listener.receivedSnapshot(*snapshot);
        } else {
            // The head may have been replaced while its pieces were read; reading it again resolves both cases.
            m_watch.reset();
            retryLater();
        }
    });
}

void StoreSync::watchFrom(std::int64_t revision)
{
    m_watch = m_store.watch({.prefix = ConfigRepository::watchPrefix(), .startRevision = revision}, *this);
}

void StoreSync::changed(const std::vector<KeyValue> &changes)
{
    const auto update = ConfigRepository::parseChanges(changes);
    if (!update) {
        return;
    }
    for (const auto &delta : update->deltas) {
        // A delta that does not fit is no loss: the head that follows it loads the whole version.
        if (const auto snapshot = delta.applyTo(*m_listener.currentSnapshot())) {
            m_listener.receivedSnapshot(*snapshot);
        }
    }
    if (update->head) {
        m_listener.storeAnswered(update->head->version);
        if (update->head->version > m_listener.currentSnapshot()->version()) {
            load(*update->head);
        }
    }
}

void StoreSync::ended(const Error &)
{
    m_watch.reset();
    retryLater();
}

void StoreSync::retryLater()
{
    m_retry = m_timers.once(m_backoff.next(), [this] { readHead(); });
}

void StoreSync::setReachable(bool reachable)
{
    if (reachable != m_reachable) {
        m_reachable = reachable;
        m_listener.storeReachable(reachable);
    }
}

} // namespace Hornbeam
