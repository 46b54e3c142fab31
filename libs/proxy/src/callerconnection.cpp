#include "callerconnection.h"

#include "attemptreport.h"
#include "claimedcall.h"
#include "retryablecall.h"
#include "slotwait.h"

#include <asio/co_spawn.hpp>

#include <algorithm>
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

/**
 * Largest number of requests of one connection that are served side by side. Responses that wait for earlier ones are
 * held in memory, each up to the size that is buffered for retries.
 */
constexpr std::size_t maxPipelinedRequests = 8;

/** Retry-After of a nested call whose parent is not known. A later attempt of the parent makes new calls. */
constexpr std::chrono::milliseconds unknownParentRetryAfter{1000};

Refusal accountRefusal(AccountVerdict verdict)
{
    switch (verdict) {
    case AccountVerdict::RepeatedKey:
        return {.status = 401, .reason = "repeated account key"};
    case AccountVerdict::EmptyKey:
        return {.status = 401, .reason = "empty account key"};
    case AccountVerdict::UnknownKey:
        return {.status = 401, .reason = "unknown account key"};
    case AccountVerdict::UnknownParent:
        return {.status = 503, .reason = "unknown parent of a nested call", .retryAfter = unknownParentRetryAfter};
    case AccountVerdict::NoKey:
    case AccountVerdict::Accepted:
        break;
    }
    return {.status = 401, .reason = "no account key"};
}

/** Bytes of the headers that a node adds to a request that it relays. */
constexpr std::size_t relayHeaderBytes = 4096;

/** Refusal of a request while the requests of all connections take the memory for them. */
constexpr Refusal noRoomRefusal{
    .status = 503, .reason = "too many bytes buffered", .retryAfter = std::chrono::milliseconds(1000)};

} // namespace

/** Counts a request as in flight for as long as the guard exists. */
class CallerConnection::InFlight
{
public:
    explicit InFlight(std::atomic<std::size_t> &count)
        : m_count(count)
    {
        ++m_count;
    }

    InFlight(const InFlight &) = delete;
    InFlight &operator=(const InFlight &) = delete;

    ~InFlight()
    {
        --m_count;
    }

private:
    std::atomic<std::size_t> &m_count;
};

/** Lists a request in CallerConnection::m_calls for as long as the guard exists. */
class CallerConnection::ActiveCall
{
public:
    ActiveCall(std::vector<CallContext *> &calls, CallContext &call)
        : m_calls(calls)
        , m_call(call)
    {
        m_calls.push_back(&m_call);
    }

    ActiveCall(const ActiveCall &) = delete;
    ActiveCall &operator=(const ActiveCall &) = delete;

    ~ActiveCall()
    {
        std::erase(m_calls, &m_call);
    }

private:
    std::vector<CallContext *> &m_calls;
    CallContext &m_call;
};

CallerConnection::CallerConnection(ServerCore &core,
                                   UpstreamPool &pool,
                                   const std::shared_ptr<asio::io_context> &context,
                                   TimedSocket socket,
                                   CallOrigin origin)
    : m_core(core)
    , m_pool(pool)
    , m_context(context)
    , m_stream(std::move(socket), HttpMessageReader::Kind::Request, core.options.maxHeaderBytes)
    , m_order(context->get_executor())
    , m_channel{.stream = m_stream, .order = m_order, .headShare = BufferPool::Share(core.requestBuffers)}
    , m_origin(origin)
{
}

CallerConnection::~CallerConnection()
{
    --(m_origin == CallOrigin::Peer ? m_core.peerConnections : m_core.connections);
}

asio::awaitable<void> CallerConnection::run()
{
    bool open = true;
    while (open) {
        open = co_await readRequest();
        if (open) {
            co_await accept();
            open = !m_channel.closing;
        }
    }
    co_await m_order.waitForPending(0);
    co_await lingeringClose();
}

asio::awaitable<bool> CallerConnection::readRequest()
{
    if (m_order.pending() >= maxInFlight()) {
        // The request stays in the socket; only a disconnect of the caller is of interest until there is room.
        m_stream.socket().watchDisconnect([this] { abandon(); });
        co_await m_order.waitForPending(maxInFlight() - 1);
        m_stream.socket().stopWatching();
    }
    if (m_channel.closing) {
        co_return false;
    }
    m_stream.reader().reset();
    const auto limits = m_core.state()->snapshot->limits();
    m_stream.reader().setMaxHeaderBytes(maxHeaderBytes(limits));
    m_reading = true;
    m_waitingSince = std::chrono::steady_clock::now();
    const auto deadline = m_order.pending() == 0 ? idleDeadline() : TimePoint::max();
    const auto result = co_await m_stream.readHead(deadline, headTime(limits), &m_channel.headShare);
    m_reading = false;
    if (m_channel.closing) {
        co_return false;
    }
    if (result != ReadResult::Ok) {
        if (result == ReadResult::Closed || result == ReadResult::Reset) {
            abandon();
        }
        co_await m_order.waitForPending(0);
        if (!m_channel.closing) {
            co_await refuseUnreadable(result);
        }
        co_return false;
    }
    m_channel.received = std::chrono::steady_clock::now();
    m_hasServed = true;
    co_return true;
}

std::size_t CallerConnection::maxInFlight() const
{
    // During a shutdown, the response in flight announces the end of the connection, so nothing is read behind it.
    const bool single = m_origin == CallOrigin::Peer || m_core.draining.load(std::memory_order_relaxed);
    return single ? 1 : maxPipelinedRequests;
}

asio::awaitable<void> CallerConnection::accept()
{
    m_hasPipelined = m_hasPipelined || m_order.pending() > 0 || m_stream.hasUnparsedBytes();
    if (mayPipeline()) {
        serveInBackground(m_core.state());
        co_return;
    }
    if (m_order.pending() > 0) {
        m_stream.socket().watchDisconnect([this] { abandon(); });
        co_await m_order.waitForPending(0);
        m_stream.socket().stopWatching();
        if (m_channel.closing) {
            co_return;
        }
    }
    CallerExchange exchange(m_channel, false);
    co_await serve(m_core.state(), exchange);
}

bool CallerConnection::mayPipeline()
{
    auto &reader = m_stream.reader();
    const auto &head = reader.head();
    const bool complete = reader.state() == HttpMessageReader::State::Complete && reader.body().empty();
    if (m_origin == CallOrigin::Peer || !complete || !head.keepAlive || head.minorVersion == 0) {
        return false;
    }
    const auto *route = m_core.state()->snapshot->matchRoute(head.host(), head.method, head.path());
    return route != nullptr && route->idempotent;
}

void CallerConnection::serveInBackground(RoutingStatePtr state)
{
    const auto exchange = std::make_shared<CallerExchange>(m_channel, true);
    m_pipelined.push_back(exchange.get());
    asio::co_spawn(*m_context,
                   serve(std::move(state), *exchange),
                   [self = shared_from_this(), exchange](const std::exception_ptr &error) {
                       std::erase(self->m_pipelined, exchange.get());
                       if (error) {
                           // Without this response, the caller would assign the later ones to the wrong requests.
                           self->m_stream.socket().abort();
                           self->abandon();
                       }
                   });
}

asio::awaitable<void> CallerConnection::serve(RoutingStatePtr state, CallerExchange &exchange)
{
    const InFlight guard(m_core.requestsInFlight);
    const bool keepOpen = co_await respond(state, exchange);
    co_await exchange.finish();
    if (!keepOpen) {
        // Later responses cannot be delivered either.
        abandon();
    } else if (m_order.pending() == 0 && !m_stream.reader().headBegun()) {
        m_waitingSince = std::chrono::steady_clock::now();
        m_stream.socket().setReadDeadline(idleDeadline());
    }
}

void CallerConnection::abandon()
{
    m_channel.closing = true;
    for (auto *exchange : m_pipelined) {
        exchange->watch().notifyDisconnected();
    }
    if (m_reading) {
        m_stream.socket().cancel();
    }
}

TimePoint CallerConnection::idleDeadline() const
{
    const auto limit = m_core.state()->snapshot->limits().idleTimeout;
    const auto timeout = m_origin == CallOrigin::Caller && limit.count() > 0 ? limit : m_core.options.idleTimeout;
    return std::chrono::steady_clock::now() + timeout;
}

Duration CallerConnection::headTime(const TrafficLimits &limits) const
{
    const auto limit = limits.headerTimeout;
    // A quarter more than clients may take, because the network can delay the last bytes of a head more than the first.
    return m_origin == CallOrigin::Caller && limit.count() > 0 ? Duration(limit) * 5 / 4 : m_core.options.idleTimeout;
}

std::size_t CallerConnection::maxHeaderBytes(const TrafficLimits &limits) const
{
    const auto own = m_origin == CallOrigin::Peer ? relayHeaderBytes : 0;
    return std::clamp<std::size_t>(limits.maxHeaderBytes, m_core.options.maxHeaderBytes, largestHeaderBytes) + own;
}

ConnectionActivity CallerConnection::activity()
{
    const bool idle = m_reading && m_order.pending() == 0;
    return {.waiting = (idle || m_readingBody) && !m_closedForRoom,
            .served = m_readingBody || (m_hasServed && !m_stream.reader().headBegun()),
            .since = m_waitingSince};
}

void CallerConnection::closeForRoom()
{
    m_closedForRoom = true;
    m_channel.closing = true;
    m_stream.socket().cancel();
}

void CallerConnection::closeIfIdle()
{
    const bool idle = m_reading && m_order.pending() == 0 && !m_stream.reader().started();
    if (idle && m_stream.socket().isOpenAndIdle()) {
        m_stream.socket().cancel();
    }
}

void CallerConnection::reportInterrupted() const
{
    for (const auto *call : m_calls) {
        m_core.metrics.interrupted.add();
        call->logIncomplete("interrupted", "the process stops", 0);
    }
}

void CallerConnection::endWaits()
{
    for (auto *call : m_calls) {
        if (call->endWait) {
            call->endWait();
        }
    }
    if (m_readingBody) {
        m_stream.socket().cancel();
    }
}

TimePoint CallerConnection::limitDeadlines(const std::string &nodeId)
{
    auto end = TimePoint::max();
    for (auto *call : m_calls) {
        if (call->isRelayedBy(nodeId)) {
            end = m_core.stoppingPeers.endOf(*call->sender);
            call->limitDeadline(end);
        }
    }
    return end;
}

void CallerConnection::endWaits(const std::string &nodeId)
{
    for (auto *call : m_calls) {
        if (call->endWait && call->isRelayedBy(nodeId)) {
            call->endWait();
        }
    }
}

asio::awaitable<void> CallerConnection::refuseUnreadable(ReadResult result)
{
    const auto version = m_core.state()->snapshot->version();
    const bool begun = m_stream.reader().headBegun();
    CallerExchange exchange(m_channel, false);
    switch (result) {
    case ReadResult::Malformed:
        co_await refuse(exchange, {.status = 400, .reason = "malformed request"}, version);
        break;
    case ReadResult::HeadTooLarge:
        m_core.limitReports.reached(ClientLimit::HeadBytes, 431, m_origin == CallOrigin::Peer);
        co_await refuse(exchange, {.status = 431, .reason = "header too large"}, version);
        break;
    case ReadResult::TimedOut:
        if (begun) {
            m_core.limitReports.reached(ClientLimit::HeadTime, 408, m_origin == CallOrigin::Peer);
            co_await refuse(exchange, {.status = 408, .reason = "incomplete request"}, version);
        }
        break;
    case ReadResult::NoRoom:
        m_core.limitReports.reached(ClientLimit::BufferedBytes, noRoomRefusal.status, m_origin == CallOrigin::Peer);
        m_channel.closing = true;
        co_await refuse(exchange, noRoomRefusal, version);
        break;
    default:
        break;
    }
    co_await exchange.finish();
}

asio::awaitable<bool> CallerConnection::refuse(CallerExchange &exchange, Refusal refusal, std::uint64_t version)
{
    co_await exchange.waitForTurn();
    const bool complete = exchange.isPipelined() || m_stream.reader().state() == HttpMessageReader::State::Complete;
    const bool keepAlive =
        exchange.decideKeepAlive(complete && exchange.head().keepAlive
                                 && !m_core.draining.load(std::memory_order_relaxed) && refusal.status != 400);
    m_core.metrics.countResponse({}, refusal.status);
    // A named object, because GCC 12 destroys a temporary aggregate argument of an awaited call twice.
    RefusalFormat format{.version = version, .keepAlive = keepAlive};
    co_return co_await writeRefusal(m_core, exchange, refusal, std::move(format));
}

asio::awaitable<bool> CallerConnection::respond(const RoutingStatePtr &state, CallerExchange &exchange)
{
    const auto &head = exchange.head();
    const auto version = state->snapshot->version();
    if (const auto *problem = findRequestProblem(head)) {
        co_return co_await refuse(exchange, {.status = 400, .reason = problem}, version);
    }
    if (m_origin == CallOrigin::Peer) {
        const auto *value = head.find(relayHeaderName);
        const auto relay = value != nullptr ? RelayRequest::parse(*value) : std::nullopt;
        if (!relay) {
            co_return co_await refuse(exchange, {.status = 400, .reason = "no valid relay header"}, version);
        }
        co_return co_await serveRelayed(state, exchange, *relay);
    }
    if (!state->ready) {
        co_return co_await refuse(
            exchange, {.status = 503, .reason = "not ready", .retryAfter = notReadyRetryAfter}, version);
    }
    const auto *route = state->snapshot->matchRoute(head.host(), head.method, head.path());
    if (route == nullptr) {
        co_return co_await refuse(exchange, {.status = 404, .reason = "no route"}, version);
    }
    co_return co_await serveRoute(state, exchange, *route);
}

CallEnvironment CallerConnection::environment(const RoutingStatePtr &state, CallerExchange &exchange)
{
    return {.core = m_core, .pool = m_pool, .context = m_context, .caller = exchange, .state = state};
}

AccountDecision CallerConnection::resolveAccount(const RoutingState &state,
                                                 const HttpHead &head,
                                                 const Route &route) const
{
    const auto &names = m_core.options.headers;
    const auto now = std::chrono::steady_clock::now();
    AccountRequest request{.snapshot = *state.snapshot, .route = route};
    if (!names.accountKey.empty()) {
        request.keys = head.findAll(names.accountKey);
    }
    const auto *id = names.requestId.empty() ? nullptr : head.find(names.requestId);
    if (id != nullptr) {
        auto caller = m_core.running.callerOf(*id, now);
        request.parent = caller.parent;
        request.parentAccount = std::move(caller.account);
    }
    return m_core.accounts.resolve(request, now);
}

asio::awaitable<bool> CallerConnection::serveRoute(const RoutingStatePtr &state,
                                                   CallerExchange &exchange,
                                                   const Route &route)
{
    auto decision = resolveAccount(*state, exchange.head(), route);
    if (decision.verdict != AccountVerdict::Accepted) {
        co_return co_await refuse(exchange, accountRefusal(decision.verdict), state->snapshot->version());
    }
    const auto *service = state->snapshot->findService(m_core.splits.choose(route));
    if (service == nullptr) {
        co_return co_await refuse(exchange, {.status = 503, .reason = "no service"}, state->snapshot->version());
    }
    CallContext call(environment(state, exchange), route, *service, std::move(decision.account));
    co_return co_await serveCall(call);
}

asio::awaitable<bool> CallerConnection::serveRelayed(const RoutingStatePtr &state,
                                                     CallerExchange &exchange,
                                                     const RelayRequest &relay)
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
    CallContext call(environment(state, exchange), relay, route, service);
    co_return co_await serveCall(call);
}

asio::awaitable<bool> CallerConnection::serveCall(CallContext &call)
{
    const ActiveCall active(m_calls, call);
    const bool prepared = co_await prepare(call);
    if (!prepared) {
        co_return call.keepOpen;
    }
    // The connection itself detects that the caller of a pipelined request disconnects, because it keeps reading.
    if (call.body.isComplete() && !call.caller.isPipelined()) {
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
    m_waitingSince = started;
    m_readingBody = !call.body.isComplete();
    const auto result =
        co_await call.body.buffer(call.route.idempotent ? maxReplayableBytes : maxIdentifiableBytes, call.deadline);
    m_readingBody = false;
    call.waited += std::chrono::steady_clock::now() - started;
    const bool needsContent = !call.route.idempotent && call.route.identity == RequestIdentitySource::Content;
    if (result == RequestBody::Result::TooLarge
        || (result == RequestBody::Result::Ok && needsContent && !call.body.isComplete())) {
        co_await call.refuse({.status = 413, .reason = "request body too large"});
        co_return false;
    }
    if (result != RequestBody::Result::Ok && call.isEndedByStop(std::chrono::steady_clock::now())) {
        // The body may still be on its way, so the request is not malformed.
        co_await call.refuse(stoppingRefusal(call));
        co_return false;
    }
    if (m_closedForRoom) {
        co_await call.refuse({.status = 503, .reason = "too many connections", .retryAfter = noRoomRefusal.retryAfter});
        co_return false;
    }
    if (result == RequestBody::Result::NoRoom) {
        m_core.limitReports.reached(ClientLimit::BufferedBytes, noRoomRefusal.status, m_origin == CallOrigin::Peer);
        m_channel.closing = true;
        co_await call.refuse(noRoomRefusal);
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
    const auto overLimit = call.takeToken();
    if (overLimit) {
        co_await call.refuse(*overLimit);
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
    if (m_closedForRoom) {
        socket.close();
        co_return;
    }
    socket.shutdownSend();
    // Closing a socket with unread bytes resets the connection, and the caller could lose the response.
    const auto &reader = m_stream.reader();
    const bool mayStillSend =
        m_hasPipelined || (reader.started() && reader.state() != HttpMessageReader::State::Complete);
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
