#include "callcontext.h"

#include <hornbeam/proxy/requestlog.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Hornbeam {

namespace {

/** Body bytes that take part in the crash digest; enough to tell apart requests that crash a parser. */
constexpr std::size_t crashDigestBodyBytes = 4096;

/** Longest deadline that a caller can ask for, the same as the bound of a route's timeout. */
constexpr std::int64_t maxDeadlineMs = 3600000;

/** Wait at a target that was expected to have a free slot, so that small errors of the estimate cost no round trip. */
constexpr std::chrono::milliseconds shortWait{40};

/**
 * Requests that make calls are refused while requests of their rank would wait longer than this at the service that
 * they call. Their calls come first there, so they would otherwise push out what is as urgent as they are.
 */
constexpr std::chrono::milliseconds dependencyWait{60};

/** Longest wait of a request whose response will miss its objective. */
constexpr std::chrono::milliseconds lateWait{100};

/** Time for writing a refusal after the request's deadline has passed. */
constexpr auto refusalTime = std::chrono::seconds(1);

/** Part of the time until the objective that is kept free for the response of a slower than typical target. */
constexpr double serviceTimeMargin = 1.25;

/** The time that the caller gives, or nothing. */
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
    return options.routeTimeoutBinds ? std::min(*given, route.timeout) : *given;
}

} // namespace

CallContext::CallContext(CallEnvironment environment, const Route &matchedRoute, const Service &routeService)
    : CallEnvironment(std::move(environment))
    , origin(CallOrigin::Caller)
    , route(matchedRoute)
    , service(routeService)
    , body(caller, routeService.maxRequestBytes)
    , watch(caller.socket())
    , started(std::chrono::steady_clock::now())
    , deadline(started + timeoutOf(caller.reader().head(), matchedRoute, core.options))
{
    const auto *id = requestId();
    nested = id != nullptr && core.running.isCall(*id);
    if (nested && core.running.callStarted(*id, service.name)) {
        core.balancer.chargeRetry(service.name);
    }
    if (!nested && route.latencyObjective.count() > 0) {
        const auto given = callerDeadline(head(), core.options.headers);
        objective = started + route.latencyObjective - core.callerAges.ageOf(route.name, given);
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
    , body(caller, targetService.maxRequestBytes)
    , watch(caller.socket())
    , started(std::chrono::steady_clock::now())
    , deadline(started + relayRequest.left)
    , latestStart(started + relayRequest.maxWait)
    , repeated(relayRequest.repeated)
{
}

const std::string *CallContext::requestId() const
{
    const auto &name = core.options.headers.requestId;
    return name.empty() ? nullptr : head().find(name);
}

AdmissionRank CallContext::rank() const
{
    if (relay) {
        return relay->rank;
    }
    if (nested) {
        return AdmissionRank::nested();
    }
    const AdmissionRank inTime = route.priority;
    return late ? inTime.late() : inTime;
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
        return core.balancer.shortestWait(dependency.service, rank(), now) > dependencyWait;
    });
}

void CallContext::updateLatestStart()
{
    const bool knowsService = !core.options.headers.requestId.empty();
    if (origin == CallOrigin::Peer || (objective == TimePoint::max() && !knowsService)) {
        return;
    }
    const auto mean = core.routeTimes.of(route.name, core.balancer.typicalServiceTime(service.name));
    const auto typical = std::chrono::duration_cast<Duration>(mean * serviceTimeMargin);
    const auto now = std::chrono::steady_clock::now();
    const auto inTime = std::min(objective, deadline) - typical;
    late = inTime < now;
    // Where many requests wait for long, all are late. One that is late anyway only takes a slot that is free soon.
    latestStart = late ? std::clamp(deadline - typical, now, now + lateWait) : inTime;
}

Duration CallContext::waitToOffer(TimePoint now)
{
    const auto latest = std::min(latestStart, deadline);
    const auto whole = std::max(latest - now, Duration::zero());
    // A target that was expected to have room may let the request wait a little; if it has more requests than that,
    // another target is tried first.
    offeredWholeWait = expectedWait > Duration::zero() || whole <= shortWait;
    return offeredWholeWait ? whole : Duration(shortWait);
}

std::vector<std::string_view> CallContext::headersToReplace() const
{
    const auto &names = core.options.headers;
    std::vector<std::string_view> replaced;
    for (const auto *name : {&names.deadline, &names.expectedTarget}) {
        if (!name->empty()) {
            replaced.emplace_back(*name);
        }
    }
    // The node of the caller has set the origin of a request of another node.
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
        report->arrived = arrivedAtTarget;
        report->dependencyFailed = dependencyFailed;
    }
    return report ? std::string(loadHeaderName) + ": " + report->format() + "\r\n" : std::string();
}

const Digest &CallContext::crashDigest()
{
    if (!m_crashDigest) {
        const auto &bytes = body.buffered();
        auto text = head().method + '\n' + head().target + '\n';
        text.append(bytes, 0, std::min(bytes.size(), crashDigestBodyBytes));
        m_crashDigest = Digest::of(text);
    }
    return *m_crashDigest;
}

bool CallContext::canKeepAlive() const
{
    return head().keepAlive && body.isComplete() && !core.draining.load(std::memory_order_relaxed);
}

void CallContext::log(std::string_view decision, std::string_view reason, int status, std::string_view target) const
{
    auto *requestLog = core.dependencies.log;
    if (requestLog == nullptr) {
        return;
    }
    const auto *id = requestId();
    const auto now = std::chrono::steady_clock::now();
    requestLog->record({.id = id != nullptr ? std::string_view(*id) : std::string_view(),
                        .route = routeName(),
                        .service = service.name,
                        .target = target,
                        .decision = decision,
                        .reason = reason,
                        .status = status,
                        .configVersion = state->snapshot->version(),
                        .rank = rank().value(),
                        .age = now - started,
                        .left = deadline - now,
                        .expectedWait = expectedWait,
                        .fromPeer = origin == CallOrigin::Peer});
}

bool CallContext::canKeepAliveAfterRefusal() const
{
    return canKeepAlive() && core.connections.load(std::memory_order_relaxed) < core.options.maxConnections / 2;
}

asio::awaitable<void> CallContext::refuse(Refusal refusal)
{
    if (sentToTarget && refusal.outcome == RefusalOutcome::NotRun) {
        refusal.outcome = RefusalOutcome::Unknown;
    }
    watch.stop();
    core.metrics.countResponse(route.name, refusal.status);
    log(refusal.outcome == RefusalOutcome::Unknown ? "failed" : "refused", refusal.reason, refusal.status);
    RefusalFormat format{
        .version = state->snapshot->version(), .keepAlive = canKeepAliveAfterRefusal(), .headers = loadHeader()};
    keepOpen = co_await writeRefusal(core, caller, refusal, std::move(format));
}

asio::awaitable<bool> writeRefusal(ServerCore &core, HttpStream &caller, Refusal refusal, RefusalFormat format)
{
    core.metrics.countRefusal(refusal.reason);
    format.withBody = caller.reader().head().method != "HEAD";
    format.fractionalRetryAfter = core.options.headers.fractionalRetryAfter;
    const auto text = formatRefusal(refusal, format);
    const std::array buffers = {asio::const_buffer(text.data(), text.size())};
    std::size_t n = 0;
    const auto ec = co_await caller.socket().write(buffers, std::chrono::steady_clock::now() + refusalTime, n);
    co_return format.keepAlive && !ec;
}

} // namespace Hornbeam
