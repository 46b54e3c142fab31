#include "retryablecall.h"

#include "attemptreport.h"
#include "responseforwarder.h"

namespace Hornbeam {

namespace {

/** Limits how often a request is sent, because each refusal costs a round trip. */
constexpr std::size_t maxSends = 6;

/** A response up to this size is buffered before it is forwarded, so that an incomplete one can still be retried. */
constexpr std::size_t bufferedResponseBytes = std::size_t{128} * 1024;

/**
 * The same for a large response of a target on this host, which frees the target's slot before the response is sent
 * over a slow link. Larger responses are streamed to save memory.
 */
constexpr std::size_t bufferedLocalResponseBytes = std::size_t{2} * 1024 * 1024;

constexpr int badGatewayStatus = 502;
constexpr int gatewayTimeoutStatus = 504;

/** A retry is worth its load only if more than the typical service time divided by this is left. */
constexpr int retryTimeDivisor = 2;

} // namespace

RetryableCall::RetryableCall(CallContext &call)
    : m_call(call)
{
}

asio::awaitable<void> RetryableCall::run()
{
    if (m_call.isDependencyBusy()) {
        m_call.dependencyFailed = true;
        co_await refuse(notRunRefusal("a service that the request calls is busy", m_call));
        co_return;
    }
    if (!m_call.outlastsStop() && m_call.needsStopTurn()) {
        co_await waitForStopTurn();
    }
    if (m_call.outlastsStop()) {
        co_await refuse(stoppingRefusal(m_call));
        co_return;
    }
    auto grant = co_await waitForFirstSlot(m_call);
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

asio::awaitable<void> RetryableCall::attempt()
{
    UpstreamExchange exchange(m_call, std::move(m_lease));
    if (m_call.route.bulk) {
        m_call.large.emplace(m_call.core.linkPacer, m_call.deadline);
    }
    auto status = co_await exchangeOn(exchange);
    auto outcome = classify(exchange, status);
    if (outcome == Outcome::Answered && m_call.large) {
        announceSize(exchange);
    }
    if (outcome == Outcome::Answered && m_call.signedResponses()) {
        const bool bufferLarge =
            m_call.route.bulk && !exchange.lease().isRemote() && m_call.core.linkPacer.canBufferLargeResponse();
        status = co_await exchange.bufferResponse(bufferLarge ? bufferedLocalResponseBytes : bufferedResponseBytes);
        outcome = status == AttemptStatus::Response ? outcome : Outcome::MayHaveRun;
        if (outcome == Outcome::Answered && m_call.large) {
            announceSize(exchange);
        }
    }
    reportAttempt(m_call, exchange, status);
    co_await checkTarget(exchange, status);
    ++m_sends;
    if (outcome == Outcome::NotRun) {
        recordNotRun(exchange, status);
    } else {
        ++m_attempts;
        m_mayHaveRun = true;
        m_call.repeated = true;
        if (status == AttemptStatus::NotReceived) {
            m_needsNewConnection = true;
        } else {
            m_excluded.push_back(exchange.lease().address());
        }
    }
    if (outcome != Outcome::Answered && mayTryAgain(exchange, status, outcome)) {
        m_call.log(outcome == Outcome::NotRun ? "moved" : "repeated",
                   attemptStatusName(status),
                   exchange.responseStatus(),
                   exchange.lease().target().name);
        m_lease = co_await nextSlot(status);
    }
    if (!m_lease) {
        co_await answer(exchange, status, outcome);
    } else if (status == AttemptStatus::Response) {
        exchange.finish();
    }
}

asio::awaitable<void> RetryableCall::waitForStopTurn()
{
    const auto started = std::chrono::steady_clock::now();
    auto &queue = m_call.core.stopQueue;
    m_stopTurn.emplace(
        queue, LinkQueue::Ticket{.deadline = m_call.latestSend(), .response = queue.nextResponse()}, m_call.context);
    co_await m_stopTurn->wait();
    m_call.waited += std::chrono::steady_clock::now() - started;
}

void RetryableCall::announceSize(UpstreamExchange &exchange)
{
    auto &reader = exchange.stream().reader();
    const auto &head = reader.head();
    if (m_call.large->isAnnounced() || head.status >= 300 || m_call.head().method == "HEAD") {
        return;
    }
    const bool buffered = reader.state() == HttpMessageReader::State::Complete;
    if (head.contentLength || buffered) {
        m_call.large->announced(head.contentLength.value_or(reader.body().size()));
        m_stopTurn.reset();
    }
}

asio::awaitable<AttemptStatus> RetryableCall::exchangeOn(UpstreamExchange &exchange)
{
    const bool connected = co_await exchange.connect(m_needsNewConnection);
    if (!connected) {
        co_return AttemptStatus::ConnectFailed;
    }
    co_return co_await exchange.run(m_call.route.idempotent);
}

RetryableCall::Outcome RetryableCall::classify(UpstreamExchange &exchange, AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Response:
        break;
    case AttemptStatus::ConnectFailed:
    case AttemptStatus::DeadlinePassed:
    case AttemptStatus::NodeStops:
        return Outcome::NotRun;
    case AttemptStatus::NotReceived:
        // TCP acknowledgements strongly indicate that the target did not read the request, but a target that resets the
        // connection after it ran the request looks the same.
        return m_call.route.idempotent && !m_call.signedResponses() ? Outcome::NotRun : Outcome::MayHaveRun;
    default:
        return exchange.hasSent() ? Outcome::MayHaveRun : Outcome::NotRun;
    }
    if (exchange.statesNotRun()) {
        return Outcome::NotRun;
    }
    const auto code = exchange.stream().reader().head().status;
    // The target has the same deadline as the caller, so a timeout of the target leaves no time for another attempt.
    const bool failed = m_call.signedResponses() ? code >= 500 && code != gatewayTimeoutStatus : code == 503;
    return failed ? Outcome::MayHaveRun : Outcome::Answered;
}

asio::awaitable<void> RetryableCall::checkTarget(UpstreamExchange &exchange, AttemptStatus status)
{
    const auto &lease = exchange.lease();
    if (lease.isRemote() || !m_call.signedResponses()) {
        m_crashed = status == AttemptStatus::Broken && !lease.isRemote();
        co_return;
    }
    const bool isAnother =
        status == AttemptStatus::Response && exchange.stream().reader().head().status == misdirectedStatus;
    if ((status == AttemptStatus::ConnectFailed && exchange.isConnectionRefused()) || isAnother) {
        m_call.core.dependencies.crashes.targetUnreachable(lease.target());
        co_return;
    }
    if (status != AttemptStatus::Broken) {
        co_return;
    }
    // If the target's process has exited, a new connection is refused; if only the response was lost, it is accepted.
    UpstreamExchange probe(m_call, {});
    m_crashed = co_await probe.probeConnectionRefused(lease.address());
    if (m_crashed) {
        reportCrashedTarget(m_call, lease.target());
    }
}

void RetryableCall::recordNotRun(const UpstreamExchange &exchange, AttemptStatus status)
{
    if (!m_mayHaveRun) {
        m_call.sentToTarget = false;
    }
    const bool refusedByTarget = status == AttemptStatus::Response && !exchange.lease().isRemote();
    m_call.arrivedAtTarget = m_call.arrivedAtTarget || refusedByTarget;
    if (status == AttemptStatus::NotReceived) {
        // Only the idle connection was closed; the target itself may get the request again.
        m_needsNewConnection = true;
        return;
    }
    m_excluded.push_back(exchange.lease().address());
}

bool RetryableCall::mayTryAgain(const UpstreamExchange &exchange, AttemptStatus status, Outcome outcome)
{
    // Another target would call the same failing service.
    if (exchange.dependencyFailed()) {
        return false;
    }
    const auto now = std::chrono::steady_clock::now();
    if (m_sends >= maxSends || m_call.body.isPartlyConsumed() || m_call.watch.isDisconnected() || now >= m_call.deadline
        || m_call.outlastsStop()) {
        return false;
    }
    if (status == AttemptStatus::NotReceived) {
        // If the target may have run the request, the repetition counts as a retry.
        const bool first = m_sends == 1 && m_attempts <= m_call.route.attempts;
        return m_call.route.idempotent
            && (outcome == Outcome::NotRun || (first && m_call.core.balancer.tryTakeRetry(m_call.service.name)));
    }
    if (m_call.origin == CallOrigin::Peer) {
        // The sending node chooses another target; a relayed request can only use the target on this host.
        return false;
    }
    if (outcome == Outcome::MayHaveRun) {
        return mayRepeat(status);
    }
    const bool arrived = status == AttemptStatus::Response && exchange.reachedTarget();
    return !arrived || m_call.core.balancer.tryTakeRetry(m_call.service.name);
}

bool RetryableCall::mayRepeat(AttemptStatus status)
{
    if (!m_call.route.idempotent || m_attempts >= m_call.route.attempts) {
        return false;
    }
    const bool mayHaveCrashed = status == AttemptStatus::Broken || status == AttemptStatus::BadResponse;
    // A request that crashed its target must not be sent to further targets. Without response signatures, a broken
    // connection is not checked for a crash, so it is treated as one.
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

asio::awaitable<SlotLease> RetryableCall::nextSlot(AttemptStatus status)
{
    SlotGrant grant;
    if (status == AttemptStatus::Response && m_mayHaveRun) {
        // Do not wait for a slot: the error response is already here, and a later one could miss the deadline.
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

asio::awaitable<void> RetryableCall::answer(UpstreamExchange &exchange, AttemptStatus status, Outcome outcome)
{
    if (outcome == Outcome::NotRun && !m_mayHaveRun
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

asio::awaitable<void> RetryableCall::forward(UpstreamExchange &exchange)
{
    const auto code = exchange.stream().reader().head().status;
    ResponseForwarder forwarder(m_call, exchange);
    const bool complete = co_await forwarder.forward();
    m_call.core.metrics.countResponse(m_call.route.name, code);
    if (m_call.large && complete && code < 300) {
        m_call.large->complete(forwarder.bodyBytes());
    }
    if (!complete && !forwarder.callerFailed() && !exchange.lease().isRemote()) {
        m_call.core.balancer.recordFailure(exchange.lease(), std::chrono::steady_clock::now());
    }
    if (forwarder.isUndelivered()) {
        m_call.logIncomplete("undelivered",
                             forwarder.callerFailed() ? "the caller disconnected or did not read in time"
                                                      : "the deadline passed while the response was sent",
                             code);
    } else if (!complete) {
        m_call.logIncomplete("failed", "incomplete response", code);
    } else if (code >= 500) {
        m_call.log("failed", "the target failed", code, exchange.lease().target().name);
    }
    if (m_call.nested && (!complete || code >= 400)) {
        m_call.core.running.callFailed(*m_call.requestId());
    }
    if (complete) {
        clearCrashSuspicion(m_call);
        exchange.finish();
    }
}

asio::awaitable<void> RetryableCall::refuse(Refusal refusal)
{
    if (m_call.nested) {
        m_call.core.running.callFailed(*m_call.requestId());
    }
    if (m_call.watch.isDisconnected()) {
        m_call.core.metrics.cancelled.add();
        m_call.log("cancelled", "the caller disconnected", 0);
        m_call.caller.stream().socket().close();
        co_return;
    }
    co_await m_call.refuse(refusal);
}

} // namespace Hornbeam
