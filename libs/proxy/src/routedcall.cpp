#include "routedcall.h"

#include "attemptreport.h"
#include "responseforwarder.h"

namespace Hornbeam {

namespace {

/** Bound of the places that a request is offered to; each refusal costs it a round trip. */
constexpr std::size_t maxSends = 6;

/** A response up to this size is read completely before its first byte is forwarded, so that it can be replaced. */
constexpr std::size_t wholeResponseBytes = std::size_t{128} * 1024;

/**
 * The same for a response of the target on this host, whose slot would otherwise be held while the response passes a
 * slow link. Larger files are read piece by piece to save memory.
 */
constexpr std::size_t wholeOwnResponseBytes = std::size_t{2} * 1024 * 1024;

constexpr int badGatewayStatus = 502;
constexpr int gatewayTimeoutStatus = 504;

/** Part of the typical time of a request that must be left for another attempt to be worth its load. */
constexpr int retryTimeDivisor = 2;

} // namespace

RoutedCall::RoutedCall(CallContext &call)
    : m_call(call)
{
}

asio::awaitable<void> RoutedCall::run()
{
    if (m_call.isDependencyBusy()) {
        m_call.dependencyFailed = true;
        co_await refuse(notRunRefusal("a service that the request calls is busy", m_call));
        co_return;
    }
    auto grant = co_await waitForSlot(m_call, {});
    if (!grant.lease) {
        co_await refuse(refusalFor(grant, m_call));
        co_return;
    }
    if (m_call.origin == CallOrigin::Caller) {
        m_call.core.balancer.countRequest(m_call.service.name);
    }
    m_lease = std::move(grant.lease);
    while (m_lease) {
        co_await attempt();
    }
}

asio::awaitable<void> RoutedCall::attempt()
{
    UpstreamExchange exchange(m_call, std::move(m_lease));
    if (m_call.route.bulk) {
        m_call.large.emplace(m_call.core.link);
    }
    auto status = co_await exchangeOn(exchange);
    auto verdict = judge(exchange, status);
    if (verdict == Verdict::Answered && m_call.signedResponses()) {
        const bool hold = m_call.route.bulk && !exchange.lease().isRemote() && m_call.core.link.mayHoldLargeResponse();
        status = co_await exchange.readWhole(hold ? wholeOwnResponseBytes : wholeResponseBytes);
        verdict = status == AttemptStatus::Response ? verdict : Verdict::MayHaveRun;
    }
    reportAttempt(m_call, exchange, status);
    co_await checkTarget(exchange, status);
    ++m_sends;
    if (verdict == Verdict::NotRun) {
        noteNotRun(exchange, status);
    } else {
        ++m_attempts;
        m_mayHaveRun = true;
        m_call.repeated = true;
        if (status == AttemptStatus::NotReceived) {
            m_fresh = true;
        } else {
            m_excluded.push_back(exchange.lease().address());
        }
    }
    if (verdict != Verdict::Answered && mayTryAgain(exchange, status, verdict)) {
        m_call.log(verdict == Verdict::NotRun ? "moved" : "repeated",
                   attemptStatusName(status),
                   exchange.responseStatus(),
                   exchange.lease().target().name);
        m_lease = co_await nextSlot(status);
    }
    if (!m_lease) {
        co_await answer(exchange, status, verdict);
    } else if (status == AttemptStatus::Response) {
        exchange.finish();
    }
}

asio::awaitable<AttemptStatus> RoutedCall::exchangeOn(UpstreamExchange &exchange)
{
    const bool connected = co_await exchange.connect(m_fresh);
    if (!connected) {
        co_return AttemptStatus::ConnectFailed;
    }
    co_return co_await exchange.run(m_call.route.idempotent);
}

RoutedCall::Verdict RoutedCall::judge(UpstreamExchange &exchange, AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Response:
        break;
    case AttemptStatus::ConnectFailed:
    case AttemptStatus::DeadlinePassed:
        return Verdict::NotRun;
    case AttemptStatus::NotReceived:
        // A target that resets the connection after it ran the request looks the same. What the kernel tells is strong
        // evidence, but no promise of the target.
        return m_call.route.idempotent && !m_call.signedResponses() ? Verdict::NotRun : Verdict::MayHaveRun;
    default:
        return exchange.hasSent() ? Verdict::MayHaveRun : Verdict::NotRun;
    }
    if (exchange.statesNotRun()) {
        return Verdict::NotRun;
    }
    const auto code = exchange.stream().reader().head().status;
    // The target's deadline was the caller's, so its own timeout leaves no time for another attempt.
    const bool failed = m_call.signedResponses() ? code >= 500 && code != gatewayTimeoutStatus : code == 503;
    return failed ? Verdict::MayHaveRun : Verdict::Answered;
}

asio::awaitable<void> RoutedCall::checkTarget(UpstreamExchange &exchange, AttemptStatus status)
{
    const auto &lease = exchange.lease();
    if (lease.isRemote() || !m_call.signedResponses()) {
        m_crashed = status == AttemptStatus::Broken && !lease.isRemote();
        co_return;
    }
    const bool isAnother =
        status == AttemptStatus::Response && exchange.stream().reader().head().status == misdirectedStatus;
    if ((status == AttemptStatus::ConnectFailed && exchange.isRefused()) || isAnother) {
        m_call.core.dependencies.crashes.targetUnreachable(lease.target());
        co_return;
    }
    if (status != AttemptStatus::Broken) {
        co_return;
    }
    // A target that has ended refuses a new connection; one that lost a response accepts it.
    UpstreamExchange probe(m_call, {});
    m_crashed = co_await probe.isRefusedBy(lease.address());
    if (m_crashed) {
        reportEndedTarget(m_call, lease.target());
    }
}

void RoutedCall::noteNotRun(const UpstreamExchange &exchange, AttemptStatus status)
{
    if (!m_mayHaveRun) {
        m_call.sentToTarget = false;
    }
    const bool refusedByTarget = status == AttemptStatus::Response && !exchange.lease().isRemote();
    m_call.arrivedAtTarget = m_call.arrivedAtTarget || refusedByTarget;
    if (status == AttemptStatus::NotReceived) {
        // The target itself is not at fault, so the request may go to it again.
        m_fresh = true;
        return;
    }
    const bool arrived = status == AttemptStatus::Response && exchange.reachedTarget();
    if (status != AttemptStatus::Response || arrived || m_call.offeredWholeWait) {
        m_excluded.push_back(exchange.lease().address());
    }
}

bool RoutedCall::mayTryAgain(const UpstreamExchange &exchange, AttemptStatus status, Verdict verdict)
{
    // Another target would call the same service.
    if (exchange.dependencyFailed()) {
        return false;
    }
    const auto now = std::chrono::steady_clock::now();
    if (m_sends >= maxSends || m_call.body.isPartlyConsumed() || m_call.watch.isGone() || now >= m_call.deadline) {
        return false;
    }
    if (status == AttemptStatus::NotReceived) {
        // Where the target may have run the request, the repetition counts like any other.
        const bool first = m_sends == 1 && m_attempts <= m_call.route.attempts;
        return m_call.route.idempotent
            && (verdict == Verdict::NotRun || (first && m_call.core.balancer.tryTakeRetry(m_call.service.name)));
    }
    if (m_call.origin == CallOrigin::Peer) {
        // The node that sent the request chooses another target; here there is only one.
        return false;
    }
    if (verdict == Verdict::MayHaveRun) {
        return mayRepeat(status);
    }
    const bool arrived = status == AttemptStatus::Response && exchange.reachedTarget();
    return !arrived || m_call.core.balancer.tryTakeRetry(m_call.service.name);
}

bool RoutedCall::mayRepeat(AttemptStatus status)
{
    if (!m_call.route.idempotent || m_attempts >= m_call.route.attempts) {
        return false;
    }
    const bool mayHaveCrashed = status == AttemptStatus::Broken || status == AttemptStatus::BadResponse;
    // A request that has crashed a target must not reach further ones by itself. Without signatures, a broken
    // connection is not tested for a crash, so it counts as one.
    if (mayHaveCrashed && !m_call.signedResponses()) {
        return false;
    }
    if (status == AttemptStatus::CallerFailed || status == AttemptStatus::Expired || isCrashSuspect(m_call)) {
        return false;
    }
    const auto left = m_call.deadline - std::chrono::steady_clock::now();
    const auto typical = m_call.core.balancer.typicalServiceTime(m_call.service.name);
    return left > typical / retryTimeDivisor && m_call.core.balancer.tryTakeRetry(m_call.service.name);
}

asio::awaitable<SlotLease> RoutedCall::nextSlot(AttemptStatus status)
{
    SlotGrant grant;
    if (status == AttemptStatus::Response && m_mayHaveRun) {
        // The response at hand is a better answer than one that comes too late.
        grant = takeFreeSlot(m_call, m_excluded);
    } else {
        grant = co_await waitForSlot(m_call, m_excluded);
    }
    if (grant.lease && m_mayHaveRun) {
        m_call.core.metrics.retries.add();
    }
    m_call.expectedWait = grant.expectedWait;
    co_return std::move(grant.lease);
}

asio::awaitable<void> RoutedCall::answer(UpstreamExchange &exchange, AttemptStatus status, Verdict verdict)
{
    if (verdict == Verdict::NotRun && !m_mayHaveRun
        && (m_call.signedResponses() || status != AttemptStatus::Response)) {
        if (status == AttemptStatus::Response) {
            exchange.finish();
        }
        co_await refuse(notRunRefusal("no target accepted the request", m_call));
        co_return;
    }
    if (status == AttemptStatus::Response && exchange.isFailureOfPeer()) {
        const auto code = exchange.stream().reader().head().status;
        const bool late = code == gatewayTimeoutStatus;
        co_await refuse({.status = late ? gatewayTimeoutStatus : badGatewayStatus,
                         .outcome = RefusalOutcome::Unknown,
                         .reason = late ? "no response before the deadline" : "failed at the node of the target"});
        co_return;
    }
    if (status != AttemptStatus::Response) {
        if (m_crashed) {
            co_await waitForCrashReport(m_call, status);
        }
        co_await refuse(refusalFor(status, m_call));
        co_return;
    }
    co_await forward(exchange);
}

asio::awaitable<void> RoutedCall::forward(UpstreamExchange &exchange)
{
    const auto code = exchange.stream().reader().head().status;
    ResponseForwarder forwarder(m_call, exchange);
    const bool complete = co_await forwarder.forward();
    m_call.core.metrics.countResponse(m_call.route.name, code);
    if (m_call.large && complete && code < 300) {
        m_call.large->complete(forwarder.bodyBytes());
    }
    if (!complete || code >= 500) {
        m_call.log(
            "failed", complete ? "the target failed" : "incomplete response", code, exchange.lease().target().name);
    }
    if (m_call.nested && (!complete || code >= 400)) {
        m_call.core.running.callFailed(*m_call.requestId());
    }
    if (complete) {
        clearCrashSuspicion(m_call);
        exchange.finish();
    }
}

asio::awaitable<void> RoutedCall::refuse(Refusal refusal)
{
    if (m_call.nested) {
        m_call.core.running.callFailed(*m_call.requestId());
    }
    if (m_call.watch.isGone()) {
        m_call.core.metrics.cancelled.add();
        m_call.log("cancelled", "the caller disconnected", 0);
        m_call.caller.socket().close();
        co_return;
    }
    co_await m_call.refuse(refusal);
}

} // namespace Hornbeam
