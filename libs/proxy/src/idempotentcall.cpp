#include "idempotentcall.h"

#include "attemptreport.h"
#include "responseforwarder.h"
#include "slotwait.h"

namespace Hornbeam {

namespace {

/** Bound of the attempts per request, beside the retry budget of the service. */
constexpr std::size_t maxAttempts = 3;

} // namespace

IdempotentCall::IdempotentCall(CallContext &call)
    : m_call(call)
{
}

asio::awaitable<void> IdempotentCall::run()
{
    auto grant = co_await waitForSlot(m_call, {});
    if (!grant.lease) {
        co_await refuse(refusalFor(grant.result, m_call));
        co_return;
    }
    m_call.core.balancer.countRequest(m_call.service.name);
    m_lease = std::move(grant.lease);
    while (m_lease) {
        co_await attempt();
    }
}

asio::awaitable<void> IdempotentCall::attempt()
{
    UpstreamExchange exchange(m_call, std::move(m_lease));
    const auto status = co_await exchangeOn(exchange);
    ++m_attempts;
    if (status == AttemptStatus::NotReceived) {
        // The target itself is not at fault, so the request may go to it again.
        m_fresh = true;
    } else {
        m_tried.push_back(exchange.lease().address());
    }
    const bool shed = status == AttemptStatus::Response && exchange.stream().reader().head().status == 503;
    if ((shed || status != AttemptStatus::Response) && mayRetry(status)) {
        m_lease = co_await retrySlot(status);
    }
    if (!m_lease) {
        co_await answer(exchange, status);
    } else if (status == AttemptStatus::Response) {
        exchange.finish();
    }
}

asio::awaitable<void> IdempotentCall::refuse(Refusal refusal)
{
    if (m_call.watch.isGone()) {
        m_call.core.metrics.cancelled.add();
        m_call.caller.socket().close();
        co_return;
    }
    co_await m_call.refuse(refusal);
}

asio::awaitable<AttemptStatus> IdempotentCall::exchangeOn(UpstreamExchange &exchange)
{
    auto status = AttemptStatus::ConnectFailed;
    const bool connected = co_await exchange.connect(m_fresh);
    if (connected) {
        status = co_await exchange.run(true);
    }
    reportAttempt(m_call, exchange, status);
    co_return status;
}

bool IdempotentCall::mayRetry(AttemptStatus status)
{
    if (m_attempts >= maxAttempts || m_call.body.isPartlyConsumed() || m_call.watch.isGone()) {
        return false;
    }
    switch (status) {
    case AttemptStatus::NotReceived:
        // The target got nothing, so the repetition adds no load and takes nothing from the budget.
        return std::chrono::steady_clock::now() < m_call.deadline;
    case AttemptStatus::ConnectFailed:
        break;
    case AttemptStatus::Response:
    case AttemptStatus::Silent:
        // A request that has crashed a target must not reach further ones by itself.
        if (isCrashSuspect(m_call)) {
            return false;
        }
        break;
    default:
        return false;
    }
    return std::chrono::steady_clock::now() < m_call.deadline && m_call.core.balancer.tryTakeRetry(m_call.service.name);
}

asio::awaitable<SlotLease> IdempotentCall::retrySlot(AttemptStatus status)
{
    SlotGrant grant;
    if (status == AttemptStatus::Response) {
        // The response at hand is a better answer than one that comes too late.
        grant = takeFreeSlot(m_call, m_tried);
    } else {
        grant = co_await waitForSlot(m_call, m_tried);
    }
    if (grant.lease) {
        m_call.core.metrics.retries.add();
    }
    co_return std::move(grant.lease);
}

asio::awaitable<void> IdempotentCall::answer(UpstreamExchange &exchange, AttemptStatus status)
{
    if (status != AttemptStatus::Response) {
        co_await refuse(refusalFor(status, m_call));
        co_return;
    }
    const auto code = exchange.stream().reader().head().status;
    ResponseForwarder forwarder(m_call, exchange);
    const bool complete = co_await forwarder.forward();
    m_call.core.metrics.countResponse(m_call.route.name, code);
    if (complete) {
        clearCrashSuspicion(m_call);
        exchange.finish();
    }
}

} // namespace Hornbeam
