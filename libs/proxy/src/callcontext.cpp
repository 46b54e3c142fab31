#include "callcontext.h"

#include "linkturn.h"

#include <hornbeam/proxy/requestlimiter.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Hornbeam {

namespace {

/** Body bytes in the crash digest; enough to distinguish requests that crash a parser from others. */
constexpr std::size_t crashDigestBodyBytes = 4096;

/** Upper bound of a caller's deadline, the same as that of a route's timeout. */
constexpr std::int64_t maxDeadlineMs = 3600000;

/**
 * A request that makes nested calls is refused while requests of its rank would wait longer than this at a service that
 * it calls. Its nested calls have the best rank there, so they would displace requests that are equally urgent.
 */
constexpr std::chrono::milliseconds maxDependencyWait{60};

/** Time limit for writing a refusal, which may be sent after the request's deadline. */
constexpr auto refusalWriteTimeout = std::chrono::seconds(1);

/** Factor on a time of recent requests that leaves time for a slower one. */
constexpr double serviceTimeMargin = 1.25;

Duration withMargin(Duration time)
{
    return std::chrono::duration_cast<Duration>(time * serviceTimeMargin);
}

/** The time limit that the caller sent; std::nullopt if there is none or it is invalid. */
std::optional<std::chrono::milliseconds> callerDeadline(const HttpHead &head, const HeaderNames &names)
{
    const auto *value = head.find(names.deadline);
    std::int64_t ms = 0;
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto [end, ec] = std::from_chars(value->data(), value->data() + value->size(), ms);
    if (ec != std::errc() || end != value->data() + value->size() || ms < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(ms, maxDeadlineMs));
}

Duration timeoutOf(const HttpHead &head, const Route &route, const ProxyOptions &options)
{
    const auto given = callerDeadline(head, options.headers);
    if (!given) {
        return route.timeout;
    }
    return options.routeTimeoutCapsDeadline ? std::min(*given, route.timeout) : *given;
}

/**
 * Moves @p deadline before the end of a graceful shutdown, so that the nodes and the target on the way of the request
 * know by when its response must be complete. Returns whether it was later.
 */
bool limitToStop(const ServerCore &core, TimePoint &deadline)
{
    const auto latest = core.stopDeadline();
    if (deadline <= latest) {
        return false;
    }
    deadline = latest;
    return true;
}

std::optional<RelaySender> senderOf(const HttpHead &head)
{
    const auto *value = head.find(nodeHeaderName);
    return value != nullptr ? RelaySender::parse(*value) : std::nullopt;
}

std::optional<CallAccount> accountOf(const HttpHead &relayed)
{
    const auto *value = relayed.find(accountHeaderName);
    return value != nullptr ? parseRelayAccount(*value) : std::nullopt;
}

} // namespace

CallContext::CallContext(CallEnvironment environment,
                         const Route &matchedRoute,
                         const Service &routeService,
                         std::optional<CallAccount> callAccount)
    : CallEnvironment(std::move(environment))
    , origin(CallOrigin::Caller)
    , route(matchedRoute)
    , service(routeService)
    , account(std::move(callAccount))
    , body(caller.stream(), caller.head(), routeService.maxRequestBytes, core.requestBuffers)
    , watch(caller.watch())
    , started(caller.received())
    , deadline(started + timeoutOf(caller.head(), matchedRoute, core.options))
    , stages(started)
    , m_limitedByStop(limitToStop(core, deadline))
{
    const auto *id = requestId();
    nested = id != nullptr && core.running.isNestedCall(*id);
    if (nested && core.running.callStarted(*id, service.name)) {
        core.balancer.chargeRetry(service.name);
    }
    if (!nested && route.latencyObjective.count() > 0) {
        const auto given = callerDeadline(head(), core.options.headers);
        objective = started + route.latencyObjective - core.callAges.ageOf(route.name, given);
    }
    updateLatestStart();
}

CallContext::CallContext(CallEnvironment environment,
                         const RelayRequest &relayRequest,
                         const Route &relayRoute,
                         const Service &targetService)
    : CallEnvironment(std::move(environment))
    , origin(CallOrigin::Peer)
    , route(relayRoute)
    , service(targetService)
    , relay(relayRequest)
    , sender(senderOf(caller.head()))
    , account(accountOf(caller.head()))
    , body(caller.stream(), caller.head(), targetService.maxRequestBytes, core.requestBuffers)
    , watch(caller.watch())
    , started(caller.received())
    , deadline(started + relayRequest.timeLeft)
    , latestStart(started + relayRequest.maxWait)
    , repeated(relayRequest.repeated)
    , stages(started)
    , m_limitedByStop(limitToStop(core, deadline))
{
    if (sender) {
        limitDeadline(core.stoppingPeers.endOf(*sender));
    }
}

void CallContext::limitDeadline(TimePoint end)
{
    if (deadline <= end) {
        return;
    }
    deadline = end;
    if (large) {
        large->limitDeadline(end);
    }
    if (linkTurn != nullptr) {
        linkTurn->limitDeadline(end);
    }
}

const std::string *CallContext::requestId() const
{
    const auto &name = core.options.headers.requestId;
    return name.empty() ? nullptr : head().find(name);
}

AdmissionRank CallContext::rank() const
{
    const AdmissionRank inTime = nested ? AdmissionRank::nested() : AdmissionRank(route.priority);
    const auto rank = relay ? relay->rank : (late && !nested ? inTime.late() : inTime);
    return account && account->priority ? rank.forAccount(*account->priority) : rank;
}

const std::string &CallContext::routeName() const
{
    return relay ? relay->route : route.name;
}

bool CallContext::isDependencyBusy() const
{
    if (nested || core.options.headers.requestId.empty()) {
        return false;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto dependencies = core.running.dependenciesOf(routeName());
    return std::any_of(dependencies.begin(), dependencies.end(), [&](const ServiceDependency &dependency) {
        return core.balancer.shortestWait(dependency.service, rank(), now) > maxDependencyWait;
    });
}

bool CallContext::isLimitedByStop()
{
    // The stop can have begun while the body arrived, or during a wait for a slot.
    m_limitedByStop = limitToStop(core, deadline) || m_limitedByStop;
    return m_limitedByStop;
}

bool CallContext::isEndedByStop(TimePoint now)
{
    return isLimitedByStop() && now >= deadline;
}

bool CallContext::outlastsStop()
{
    return isLimitedByStop() && std::chrono::steady_clock::now() > latestSend();
}

TimePoint CallContext::latestSend() const
{
    const auto now = std::chrono::steady_clock::now();
    // A request that is refused can go to another node; one that is cut off may have run.
    const auto time = std::max(typicalTime(), withMargin(core.responseTimes.longest(routeName(), now)));
    if (!route.bulk) {
        return deadline - time;
    }
    const auto &link = core.linkPacer;
    const auto wait = large ? large->waitForOthers(deadline) : link.largeResponseWait(deadline);
    return deadline - time - wait - link.longestLargeResponseTime();
}

bool CallContext::needsStopTurn() const
{
    return m_limitedByStop && route.bulk && core.linkPacer.isPacing();
}

void CallContext::noteResponseTime() const
{
    const auto now = std::chrono::steady_clock::now();
    core.responseTimes.note(routeName(), now - firstSend, now);
}

Duration CallContext::typicalTime() const
{
    const auto mean = core.routeTimes.of(routeName(), core.balancer.typicalServiceTime(service.name));
    return withMargin(mean);
}

void CallContext::updateLatestStart()
{
    const bool knowsService = !core.options.headers.requestId.empty();
    if (origin == CallOrigin::Peer || (objective == TimePoint::max() && !knowsService)) {
        return;
    }
    const auto typical = typicalTime();
    const auto now = std::chrono::steady_clock::now();
    const auto inTime = std::min(objective, deadline) - typical;
    late = inTime < now;
    // Under overload, all requests become late. A late request takes only a slot that nobody waits for: waiting, it
    // would be refused late and displace requests that can be in time.
    latestStart = late ? now : inTime;
}

Duration CallContext::maxRemoteWait(TimePoint now) const
{
    // The node of the target knows its queue and refuses the request at once if it would wait longer than this. A
    // shorter limit makes targets with a short queue refuse requests that they would serve in time.
    return std::max(std::min(latestStart, deadline) - now, Duration::zero());
}

std::vector<std::string_view> CallContext::headersToReplace() const
{
    const auto &names = core.options.headers;
    std::vector<std::string_view> replaced;
    for (const auto *name : {&names.deadline, &names.expectedTarget, &names.accountKey, &names.account}) {
        if (!name->empty()) {
            replaced.emplace_back(*name);
        }
    }
    // For a request from another node, that node has already set the origin service.
    if (origin == CallOrigin::Caller && !names.originService.empty()) {
        replaced.emplace_back(names.originService);
    }
    return replaced;
}

std::string CallContext::loadHeader() const
{
    if (!relay) {
        return {};
    }
    auto report = core.balancer.reportOf(service.name, relay->target);
    if (report) {
        report->refusedByTarget = arrivedAtTarget;
        report->dependencyFailed = dependencyFailed;
    }
    return report ? std::string(loadHeaderName) + ": " + report->format() + "\r\n" : std::string();
}

const Digest &CallContext::crashDigest()
{
    if (!m_crashDigest) {
        const auto &bytes = body.buffered();
        auto text = head().method + '\n' + head().requestTarget + '\n';
        text.append(bytes, 0, std::min(bytes.size(), crashDigestBodyBytes));
        m_crashDigest = Digest::of(text);
    }
    return *m_crashDigest;
}

bool CallContext::canKeepAlive() const
{
    return head().keepAlive && body.isComplete() && !core.draining.load(std::memory_order_relaxed);
}

asio::awaitable<bool> CallContext::decideKeepAlive(bool possible)
{
    co_await caller.waitForTurn();
    co_return caller.decideKeepAlive(possible && canKeepAlive());
}

RequestEvent CallContext::eventOf(std::string_view decision, std::string_view reason, int status, TimePoint now) const
{
    const auto *id = requestId();
    return {.id = id != nullptr ? std::string_view(*id) : std::string_view(),
            .route = routeName(),
            .service = service.name,
            .target = {},
            .decision = decision,
            .reason = reason,
            .status = status,
            .configVersion = state->snapshot->version(),
            .account = account ? std::string_view(account->name) : std::string_view(),
            .rank = rank().value(),
            .age = now - started,
            .timeLeft = deadline - now,
            .expectedWait = expectedWait,
            .fromPeer = origin == CallOrigin::Peer};
}

void CallContext::log(std::string_view decision, std::string_view reason, int status, std::string_view target) const
{
    if (core.dependencies.log != nullptr) {
        auto event = eventOf(decision, reason, status, std::chrono::steady_clock::now());
        event.target = target;
        core.dependencies.log->record(event);
    }
}

void CallContext::logIncomplete(std::string_view decision, std::string_view reason, int status) const
{
    if (core.dependencies.log == nullptr) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    auto event = eventOf(decision, reason, status, now);
    event.target = targetName;
    event.progress = RequestProgress{.stage = callStageName(stages.current()),
                                     .bytesSent = sentBytes,
                                     .bytesExpected = responseBytes,
                                     .target = stages.timeIn(CallStage::Target, now),
                                     .body = stages.timeIn(CallStage::Body, now),
                                     .link = stages.timeIn(CallStage::Link, now),
                                     .caller = stages.timeIn(CallStage::Caller, now)};
    core.dependencies.log->record(event);
}

/** False if many connections are open, because refused callers open further ones. */
bool CallContext::canKeepAliveAfterRefusal() const
{
    return canKeepAlive() && core.connections.load(std::memory_order_relaxed) < core.maxCallerConnections / 2;
}

std::optional<Refusal> CallContext::takeToken()
{
    auto *limiter = core.dependencies.limiter;
    if (limiter == nullptr || origin == CallOrigin::Peer || !account || account->inherited || nested) {
        return std::nullopt;
    }
    const auto decision = limiter->admit(account->name, std::chrono::steady_clock::now());
    if (decision.admitted) {
        takenToken = true;
        return std::nullopt;
    }
    return Refusal{
        .status = 429, .reason = "the account has reached its rate limit", .retryAfter = decision.retryAfter};
}

void CallContext::giveTokenBack()
{
    if (std::exchange(takenToken, false)) {
        core.dependencies.limiter->giveBack(account->name, std::chrono::steady_clock::now());
    }
}

asio::awaitable<void> CallContext::refuse(Refusal refusal)
{
    if (sentToTarget && refusal.outcome == RefusalOutcome::NotRun) {
        refusal.outcome = RefusalOutcome::Unknown;
    }
    if (refusal.outcome == RefusalOutcome::NotRun) {
        giveTokenBack();
    }
    watch.stop();
    core.metrics.countResponse(route.name, refusal.status);
    log(refusal.outcome == RefusalOutcome::Unknown ? "failed" : "refused", refusal.reason, refusal.status);
    co_await caller.waitForTurn();
    RefusalFormat format{.version = state->snapshot->version(),
                         .keepAlive = caller.decideKeepAlive(canKeepAliveAfterRefusal()),
                         .headers = loadHeader()};
    keepOpen = co_await writeRefusal(core, caller, refusal, std::move(format));
}

asio::awaitable<bool> writeRefusal(ServerCore &core, CallerExchange &caller, Refusal refusal, RefusalFormat format)
{
    core.metrics.countRefusal(refusal.reason);
    format.withBody = caller.head().method != "HEAD";
    format.fractionalRetryAfter = core.options.headers.fractionalRetryAfter;
    const auto text = formatRefusal(refusal, format);
    const std::array buffers = {asio::const_buffer(text.data(), text.size())};
    const auto ec = co_await caller.write(buffers, std::chrono::steady_clock::now() + refusalWriteTimeout);
    co_return format.keepAlive && !ec;
}

} // namespace Hornbeam
