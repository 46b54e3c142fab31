#include "attemptreport.h"

#include "slotwait.h"

#include <hornbeam/rollouts/outcomeledger.h>

#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>

namespace Hornbeam {

namespace {

/** A crash report reaches 1,700 members in 7 gossip hops of 5 ms each; the rest is margin for slow processes. */
constexpr std::chrono::milliseconds crashReportDelay{200};

/** Whether a response is a failure of its target. 503 is not: ejecting overloaded targets overloads the others. */
bool isFailureStatus(int status)
{
    return status >= 500 && status != 501 && status != 503;
}

/** Whether the status of an attempt is a failure of the target; nothing if it says nothing about the target. */
std::optional<bool> failureOfTarget(const UpstreamExchange &exchange, AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Response:
        if (exchange.dependencyFailed() || exchange.statesNotRun() || exchange.isFailureOfPeer()) {
            return std::nullopt;
        }
        return isFailureStatus(exchange.responseStatus());
    case AttemptStatus::Broken:
    case AttemptStatus::BadResponse:
    case AttemptStatus::Silent:
        return exchange.lease().isRemote() ? std::nullopt : std::optional(true);
    case AttemptStatus::Expired:
        // Its time counts: the target is at least as slow as this.
        return exchange.lease().isRemote() ? std::nullopt : std::optional(false);
    default:
        return std::nullopt;
    }
}

/** Reports the result of the target's version, for the comparison of versions during a roll-out. */
void reportVersion(CallContext &call, const UpstreamExchange &exchange, AttemptStatus status, TimePoint now)
{
    const auto failed = call.state->versions.empty() ? std::nullopt : failureOfTarget(exchange, status);
    if (!failed) {
        return;
    }
    const auto &lease = exchange.lease();
    call.core.balancer.recordVersionResult(lease, *failed);
    auto *ledger = call.core.dependencies.outcomes;
    if (ledger != nullptr && !lease.isRemote()) {
        ledger->record(lease.target().service,
                       lease.target().version,
                       call.routeName(),
                       *failed,
                       std::chrono::duration_cast<std::chrono::milliseconds>(now - lease.started()));
    }
}

void reportCrash(CallContext &call, const Endpoint &target, TimePoint now)
{
    call.core.metrics.crashes.add();
    call.core.suspects.add(call.crashDigest(), target, now);
    call.core.dependencies.crashes.targetCrashed(call.crashDigest(), target);
}

/** Tells the pace of the target how it has answered; failed nested calls say nothing about it. */
void reportPace(CallContext &call, UpstreamExchange &exchange, AttemptStatus status, TimePoint now)
{
    if (exchange.lease().isRemote() || exchange.dependencyFailed()) {
        return;
    }
    PaceOutcome outcome = PaceOutcome::Failed;
    if (status == AttemptStatus::Response) {
        const bool failed = isFailureStatus(exchange.stream().reader().head().status);
        outcome = exchange.statesNotRun() ? PaceOutcome::Refused : failed ? PaceOutcome::Failed : PaceOutcome::Success;
    } else if (status != AttemptStatus::Broken && status != AttemptStatus::Silent
               && status != AttemptStatus::BadResponse) {
        return;
    }
    const auto typical = call.core.routeTimes.of(call.routeName(), Duration::zero());
    call.core.balancer.recordPace(exchange.lease(), outcome, typical, now);
}

} // namespace

void reportAttempt(CallContext &call, UpstreamExchange &exchange, AttemptStatus status)
{
    const auto now = std::chrono::steady_clock::now();
    auto &balancer = call.core.balancer;
    reportVersion(call, exchange, status, now);
    const bool unreachable = status == AttemptStatus::ConnectFailed || status == AttemptStatus::Silent;
    if (unreachable && exchange.lease().isRemote()) {
        balancer.recordUnreachable(exchange.lease(), now);
        return;
    }
    reportPace(call, exchange, status, now);
    switch (status) {
    case AttemptStatus::Response:
        if (exchange.lease().isRemote() || exchange.dependencyFailed()) {
            // The node of a remote target counts and reports its failures. A failed nested call is a failure of another
            // service.
            balancer.recordReachable(exchange.lease(), now);
        } else if (exchange.statesNotRun()) {
            // The target never gets more requests than it has slots, so a refusal counts as a failure of the target.
            balancer.recordRejection(exchange.lease(), now);
        } else if (isFailureStatus(exchange.stream().reader().head().status)) {
            balancer.recordFailure(exchange.lease(), now);
        } else {
            balancer.recordSuccess(exchange.lease(), now);
        }
        break;
    case AttemptStatus::Broken:
        // With signed responses, the call opens a new connection to check whether the target's process has exited.
        if (!exchange.lease().isRemote() && !call.signedResponses()) {
            reportCrash(call, exchange.lease().address(), now);
        }
        balancer.recordFailure(exchange.lease(), now);
        break;
    case AttemptStatus::ConnectFailed:
    case AttemptStatus::Silent:
    case AttemptStatus::BadResponse:
        balancer.recordFailure(exchange.lease(), now);
        break;
    case AttemptStatus::Expired:
        // A target that is still running the request is only slow; one that sends a response without end has failed.
        if (!exchange.lease().isRemote() && exchange.hasPartialResponse()) {
            balancer.recordFailure(exchange.lease(), now);
        }
        break;
    default:
        break;
    }
}

void reportCrashedTarget(CallContext &call, const Target &target)
{
    reportCrash(call, target.address, std::chrono::steady_clock::now());
    call.core.dependencies.crashes.targetUnreachable(target);
}

bool isCrashSuspect(CallContext &call)
{
    return call.core.suspects.any()
        && call.core.suspects.contains(call.crashDigest(), std::chrono::steady_clock::now());
}

bool isCrashQuarantined(CallContext &call)
{
    const auto &quarantined = call.state->quarantined;
    if (!quarantined.empty() && std::binary_search(quarantined.begin(), quarantined.end(), call.crashDigest())) {
        return true;
    }
    return call.core.suspects.any()
        && call.core.suspects.hasCrashedTwoTargets(call.crashDigest(), std::chrono::steady_clock::now());
}

void clearCrashSuspicion(CallContext &call)
{
    if (call.core.suspects.any() && call.core.suspects.remove(call.crashDigest())) {
        call.core.dependencies.crashes.requestSucceeded(call.crashDigest());
    }
}

asio::awaitable<void> waitForCrashReport(CallContext &call, AttemptStatus status)
{
    if (status != AttemptStatus::Broken) {
        co_return;
    }
    asio::steady_timer timer(*call.context, crashReportDelay);
    std::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

Refusal refusalFor(AttemptStatus status, CallContext &call)
{
    switch (status) {
    case AttemptStatus::ConnectFailed:
        return notRunRefusal("connection failed", call);
    case AttemptStatus::DeadlinePassed:
        return {.status = 504, .reason = "deadline passed"};
    case AttemptStatus::NodeStops:
        // An earlier attempt may have run the request.
        return call.sentToTarget
            ? Refusal{.status = 504, .outcome = RefusalOutcome::Unknown, .reason = "the node stops"}
            : stoppingRefusal(call);
    case AttemptStatus::Expired:
        return {.status = 504, .outcome = RefusalOutcome::Unknown, .reason = "no response before the deadline"};
    case AttemptStatus::Silent:
        return {.status = 504, .outcome = RefusalOutcome::Unknown, .reason = "silent target"};
    case AttemptStatus::BadResponse:
        return {.status = 502, .outcome = RefusalOutcome::Unknown, .reason = "bad response"};
    case AttemptStatus::CallerFailed:
        return {.status = 400, .reason = "bad request body"};
    default:
        return {.status = 502, .outcome = RefusalOutcome::Unknown, .reason = "connection closed by the target"};
    }
}

} // namespace Hornbeam
