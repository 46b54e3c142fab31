#include "claimedcall.h"

#include "attemptreport.h"
#include "claimwait.h"
#include "responseforwarder.h"
#include "slotwait.h"

#include <hornbeam/claims/requestidentity.h>

namespace Hornbeam {

namespace {

/** Whether the response states that the target refused the request without running it. */
bool isShed(const HttpHead &response)
{
    const auto *outcome = response.find("x-hornbeam-outcome");
    return response.status == 503 && outcome != nullptr && *outcome == "not-run";
}

/** The caller's credentials, which distinguish callers behind the same address, or without them its address. */
std::string callerIdentityOf(CallContext &call)
{
    if (const auto *credentials = call.head().find("authorization")) {
        return *credentials;
    }
    std::error_code ec;
    const auto peer = call.caller.stream().socket().socket().remote_endpoint(ec);
    return ec ? std::string() : peer.address().to_string();
}

} // namespace

std::optional<Digest> requestIdentityOf(CallContext &call)
{
    const auto &head = call.head();
    if (call.route.identity == RequestIdentitySource::Header) {
        const auto *key = head.find("idempotency-key");
        if (key == nullptr || key->empty()) {
            return std::nullopt;
        }
        // The caller is not part of the identity: a restarted client may retry with other credentials or from another
        // address. Neither is the name of the route, because it can change between two attempts.
        return RequestIdentity::ofKey({}, head.method + ' ' + std::string(head.path()), *key);
    }
    return RequestIdentity::ofContent(callerIdentityOf(call), head.method, head.requestTarget, call.body.buffered());
}

ClaimedCall::ClaimedCall(CallContext &call)
    : m_call(call)
{
}

asio::awaitable<void> ClaimedCall::run()
{
    const auto identity = requestIdentityOf(m_call);
    if (!identity) {
        co_await m_call.refuse({.status = 400, .reason = "Idempotency-Key is missing"});
        co_return;
    }
    if (m_call.outlastsStop()) {
        co_await m_call.refuse(stoppingRefusal(m_call));
        co_return;
    }
    auto grant = co_await waitForFirstSlot(m_call);
    if (!grant.lease) {
        co_await m_call.refuse(refusalFor(grant, m_call));
        co_return;
    }
    const auto decision = co_await waitForClaim(m_call, *identity);
    if (decision.outcome != ClaimOutcome::Granted) {
        co_await answerDecision(decision);
        co_return;
    }
    m_ticket = decision.ticket;
    co_await runClaimed(std::move(grant.lease));
}

asio::awaitable<void> ClaimedCall::answerDecision(const ClaimDecision &decision)
{
    switch (decision.outcome) {
    case ClaimOutcome::Completed:
        co_await replayResponse(m_call, decision.response);
        co_return;
    case ClaimOutcome::InProgress:
        co_await m_call.refuse({.status = 409,
                                .outcome = RefusalOutcome::InProgress,
                                .reason = "in progress",
                                .retryAfter = std::chrono::seconds(1)});
        co_return;
    case ClaimOutcome::Unknown:
        co_await m_call.refuse({.status = 504, .outcome = RefusalOutcome::Unknown, .reason = "outcome unknown"});
        co_return;
    default:
        co_await m_call.refuse(notRunRefusal("no claim", m_call));
    }
}

asio::awaitable<void> ClaimedCall::runClaimed(SlotLease lease)
{
    std::vector<Endpoint> tried;
    while (lease) {
        UpstreamExchange exchange(m_call, std::move(lease));
        const bool connected = co_await exchange.connect(true);
        if (connected) {
            co_await send(exchange);
            co_return;
        }
        // Nothing was sent, so another target can be tried.
        reportAttempt(m_call, exchange, AttemptStatus::ConnectFailed);
        tried.push_back(exchange.lease().address());
        auto grant = co_await waitForSlot(m_call, tried);
        lease = std::move(grant.lease);
    }
    m_call.core.dependencies.claims.release(m_ticket);
    co_await m_call.refuse(refusalFor(AttemptStatus::ConnectFailed, m_call));
}

asio::awaitable<void> ClaimedCall::send(UpstreamExchange &exchange)
{
    // Not cancelled when the caller disconnects, so that the outcome of the sent request is recorded.
    const auto status = co_await exchange.run(false);
    reportAttempt(m_call, exchange, status);
    if (status == AttemptStatus::Response) {
        co_await forward(exchange);
    } else {
        co_await fail(exchange, status);
    }
}

asio::awaitable<void> ClaimedCall::forward(UpstreamExchange &exchange)
{
    auto &claims = m_call.core.dependencies.claims;
    const auto code = exchange.stream().reader().head().status;
    const bool shed = isShed(exchange.stream().reader().head());
    ResponseForwarder forwarder(m_call, exchange);
    forwarder.record();
    const bool complete = co_await forwarder.forward();
    m_call.core.metrics.countResponse(m_call.route.name, code);
    if (shed) {
        claims.release(m_ticket);
    } else if (complete) {
        claims.complete(m_ticket, forwarder.recorded());
        clearCrashSuspicion(m_call);
    } else {
        claims.markUnknown(m_ticket);
    }
    if (complete) {
        exchange.finish();
    }
}

asio::awaitable<void> ClaimedCall::fail(UpstreamExchange &exchange, AttemptStatus status)
{
    auto &claims = m_call.core.dependencies.claims;
    if (!exchange.hasSent()) {
        claims.release(m_ticket);
        auto refusal = refusalFor(status, m_call);
        refusal.outcome = RefusalOutcome::NotRun;
        co_await m_call.refuse(refusal);
        co_return;
    }
    claims.markUnknown(m_ticket);
    co_await waitForCrashReport(m_call, status);
    auto refusal = refusalFor(status, m_call);
    refusal.status = 504;
    refusal.outcome = RefusalOutcome::Unknown;
    co_await m_call.refuse(refusal);
}

} // namespace Hornbeam
