#include <hornbeam/config/storeconfigsource.h>

#include <random>

namespace Hornbeam {

namespace {

/** A watch that lasts this long works; a store that ends each watch sooner is read less and less often. */
constexpr std::chrono::seconds workingWatch{1};

} // namespace

StoreConfigSource::StoreConfigSource(KeyValueStore &store,
                                     TimerService &timers,
                                     ConfigSourceListener &listener,
                                     BackoffOptions retryBackoff)
    : m_store(store)
    , m_timers(timers)
    , m_listener(listener)
    , m_backoff(retryBackoff)
    , m_alive(std::make_shared<bool>(true))
{
}

StoreConfigSource::~StoreConfigSource()
{
    *m_alive = false;
}

void StoreConfigSource::start(Duration spread)
{
    std::random_device device;
    const Duration delay(std::uniform_int_distribution<Duration::rep>(0, spread.count())(device));
    m_retry = m_timers.once(delay, [this] { read(); });
}

void StoreConfigSource::setWatching(bool watching)
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

void StoreConfigSource::stopReading()
{
    m_readingNeeded = false;
}

void StoreConfigSource::readSucceeded(std::optional<StoreGeneration> generation)
{
    m_reading = false;
    if (isRestoration(m_knownGeneration, generation)) {
        m_listener.storeRestored(*m_knownGeneration, *generation);
    }
    if (generation) {
        m_knownGeneration = generation;
    }
    m_readGeneration = generation;
    setReachable(true);
}

void StoreConfigSource::readFailed()
{
    m_reading = false;
    setReachable(false);
    readAgain();
}

void StoreConfigSource::watchFrom(const std::string &prefix, std::int64_t revision)
{
    if (m_watching) {
        m_watchStarted = m_timers.now();
        m_watch = m_store.watch({.prefix = prefix, .startRevision = revision, .generation = m_readGeneration}, *this);
    }
}

void StoreConfigSource::readAgain()
{
    m_watch.reset();
    m_retry = m_timers.once(m_backoff.next(), [this] { read(); });
}

void StoreConfigSource::ended(const Error &error)
{
    if (error.code() == ErrorCode::Conflict) {
        m_listener.storeHistoryLost(error);
    }
    if (m_timers.now() - m_watchStarted >= workingWatch) {
        m_backoff.reset();
    }
    readAgain();
}

void StoreConfigSource::read()
{
    if (!m_reading && (m_watching || m_readingNeeded)) {
        m_reading = true;
        readStore();
    }
}

void StoreConfigSource::setReachable(bool reachable)
{
    if (reachable != m_reachable) {
        m_reachable = reachable;
        m_listener.storeReachable(reachable);
    }
}

} // namespace Hornbeam
