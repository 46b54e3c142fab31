#include "callerconnection.h"

#include "attemptreport.h"
#include "claimedcall.h"
#include "retryablecall.h"

#include <array>

namespace Hornbeam {

namespace {

/** Bodies of idempotent requests are buffered up to this size, so that the request can be sent again. */
constexpr std::size_t maxReplayableBytes = std::size_t{64} * 1024;

/** Bodies of non-idempotent requests are buffered up to this size, so that their content can identify them. */
constexpr std::size_t maxIdentifiableBytes = std::size_t{1024} * 1024;

/** Retry-After of a node without a configuration; the caller may reach another node, or this one when it is ready. */
constexpr std::chrono::milliseconds notReadyRetryAfter{1000};

/** Route label under which the metrics count requests that other nodes relay. */
constexpr const char *relayRouteName = "relay";

/** Bounds of the time and of the bytes for which a connection that closes early still reads what the caller sends. */
constexpr auto lingerTime = std::chrono::seconds(1);
constexpr std::size_t lingerBytes = std::size_t{1024} * 1024;

/** Counts a request as in flight for as long as the guard exists. */
class InFlightGuard
{
public:
    explicit InFlightGuard(std::atomic<std::size_t> &count)
        : m_count(count)
    {
        ++m_count;
    }

    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

    ~InFlightGuard()
    {
        --m_count;
    }

private:
    std::atomic<std::size_t> &m_count;
};

} // namespace

CallerConnection::CallerConnection(ServerCore &core,
                                   UpstreamPool &pool,
                                   const std::shared_ptr<asio::io_context> &context,
                                   TimedSocket socket,
                                   CallOrigin origin)
    : m_core(core)
    , m_pool(pool)
    , m_context(context)
    , m_stream(std::move(socket), HttpMessageReader::Kind::Request, core.options.maxHeaderBytes)
    , m_origin(origin)
{
}

CallerConnection::~CallerConnection()
{
    --m_core.connections;
}

asio::awaitable<void> CallerConnection::run()
{
    bool open = true;
    while (open) {
        m_stream.reader().reset();
        m_idle = true;
        const auto result = co_await m_stream.readHead(std::chrono::steady_clock::now() + idleTimeout());
        m_idle = false;
        if (result != ReadResult::Ok) {
            co_await refuseUnreadable(result);
            break;
        }
        const InFlightGuard guard(m_core.requestsInFlight);
        open = co_await serve();
    }
    co_await lingeringClose();
}

Duration CallerConnection::idleTimeout() const
{
    const auto limit = m_core.state()->snapshot->limits().idleTimeout;
    return m_origin == CallOrigin::Caller && limit.count() > 0 ? limit : m_core.options.idleTimeout;
}

void CallerConnection::closeIfIdle()
{
    if (m_idle && !m_stream.reader().started() && m_stream.socket().isOpenAndIdle()) {
        m_stream.socket().cancel();
    }
}

asio::awaitable<void> CallerConnection::refuseUnreadable(ReadResult result)
{
    const auto version = m_core.state()->snapshot->version();
    switch (result) {
    case ReadResult::Malformed:
        co_await refuse({.status = 400, .reason = "malformed request"}, version);
        break;
    case ReadResult::HeadTooLarge:
        co_await refuse({.status = 431, .reason = "header too large"}, version);
        break;
    case ReadResult::TimedOut:
        if (m_stream.reader().started()) {
            co_await refuse({.status = 408, .reason = "incomplete request"}, version);
        }
        break;
    default:
        break;
    }
}

asio::awaitable<bool> CallerConnection::refuse(Refusal refusal, std::uint64_t version)
{
    const auto &reader = m_stream.reader();
    const bool keepAlive = reader.state() == HttpMessageReader::State::Complete && reader.head().keepAlive
        && !m_core.draining.load(std::memory_order_relaxed) && refusal.status != 400;
    m_core.metrics.countResponse({}, refusal.status);
    // A named object, because GCC 12 destroys a temporary aggregate argument of an awaited call twice.
    RefusalFormat format{.version = version, .keepAlive = keepAlive};
    co_return co_await writeRefusal(m_core, m_stream, refusal, std::move(format));
}

asio::awaitable<bool> CallerConnection::serve()
{
    const auto state = m_core.state();
    const auto &head = m_stream.reader().head();
    const auto version = state->snapshot->version();
    if (const auto *problem = findRequestProblem(head)) {
        co_return co_await refuse({.status = 400, .reason = problem}, version);
    }
    if (m_origin == CallOrigin::Peer) {
        const auto *value = head.find(relayHeaderName);
        const auto relay = value != nullptr ? RelayRequest::parse(*value) : std::nullopt;
        if (!relay) {
            co_return co_await refuse({.status = 400, .reason = "no valid relay header"}, version);
        }
        co_return co_await serveRelayed(state, *relay);
    }
    if (!state->ready) {
        co_return co_await refuse({.status = 503, .reason = "not ready", .retryAfter = notReadyRetryAfter}, version);
    }
    const auto *route = state->snapshot->matchRoute(head.host(), head.method, head.path());
    if (route == nullptr) {
        co_return co_await refuse({.status = 404, .reason = "no route"}, version);
    }
    co_return co_await serveRoute(state, *route);
}

CallEnvironment CallerConnection::environment(const RoutingStatePtr &state)
{
    return {.core = m_core, .pool = m_pool, .context = m_context, .caller = m_stream, .state = state};
}

asio::awaitable<bool> CallerConnection::serveRoute(const RoutingStatePtr &state, const Route &route)
{
    const auto *service = state->snapshot->findService(m_core.splits.choose(route));
    if (service == nullptr) {
        co_return co_await refuse({.status = 503, .reason = "no service"}, state->snapshot->version());
    }
    CallContext call(environment(state), route, *service);
    co_return co_await serveCall(call);
}

asio::awaitable<bool> CallerConnection::serveRelayed(const RoutingStatePtr &state, const RelayRequest &relay)
{
    const auto *known = state->snapshot->findService(relay.service);
    Service service;
    service.name = relay.service;
    if (known != nullptr) {
        service = *known;
    }
    Route route;
    route.name = relayRouteName;
    route.service = relay.service;
    route.idempotent = relay.idempotent;
    route.bulk = relay.bulk;
    route.identity = RequestIdentitySource::Attempt;
    CallContext call(environment(state), relay, route, service);
    co_return co_await serveCall(call);
}

asio::awaitable<bool> CallerConnection::serveCall(CallContext &call)
{
    const bool prepared = co_await prepare(call);
    if (!prepared) {
        co_return call.keepOpen;
    }
    if (call.body.isComplete()) {
        call.watch.start();
    }
    if (call.route.idempotent || call.route.identity == RequestIdentitySource::Attempt) {
        RetryableCall retryable(call);
        co_await retryable.run();
    } else {
        ClaimedCall claimed(call);
        co_await claimed.run();
    }
    co_return call.keepOpen;
}

asio::awaitable<bool> CallerConnection::prepare(CallContext &call)
{
    const auto started = std::chrono::steady_clock::now();
    const auto result =
        co_await call.body.buffer(call.route.idempotent ? maxReplayableBytes : maxIdentifiableBytes, call.deadline);
    call.waited += std::chrono::steady_clock::now() - started;
    const bool needsContent = !call.route.idempotent && call.route.identity == RequestIdentitySource::Content;
    if (result == RequestBody::Result::TooLarge
        || (result == RequestBody::Result::Ok && needsContent && !call.body.isComplete())) {
        co_await call.refuse({.status = 413, .reason = "request body too large"});
        co_return false;
    }
    if (result != RequestBody::Result::Ok) {
        co_await call.refuse({.status = 400, .reason = "incomplete request body"});
        co_return false;
    }
    if (isCrashQuarantined(call)) {
        const auto status = m_core.options.quarantineStatus;
        co_await call.refuse({.status = status, .reason = "quarantined after crashes"});
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> CallerConnection::lingeringClose()
{
    auto &socket = m_stream.socket();
    if (!socket.socket().is_open()) {
        co_return;
    }
    socket.shutdownSend();
    // Closing a socket with unread bytes resets the connection, and the caller could lose the response.
    const auto &reader = m_stream.reader();
    const bool mayStillSend = reader.started() && reader.state() != HttpMessageReader::State::Complete;
    const auto until = std::chrono::steady_clock::now() + lingerTime;
    std::array<char, 4096> discarded;
    std::size_t total = 0;
    while (mayStillSend && total < lingerBytes) {
        std::size_t n = 0;
        const auto ec = co_await socket.readSome(asio::buffer(discarded), until, n);
        if (ec) {
            break;
        }
        total += n;
    }
    socket.close();
}

} // namespace Hornbeam
