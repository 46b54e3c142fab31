#include "slotwait.h"

#include "timerwake.h"

#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

namespace Hornbeam {

namespace {

SlotRequestPtr makeRequest(CallContext &call, std::vector<Endpoint> excluded, std::function<void()> wake)
{
    return std::make_shared<SlotRequest>(call.core.balancer,
                                         SlotRequestOptions{
                                             .service = call.service.name,
                                             .requiredLabels = call.route.requiredLabels,
                                             .excluded = std::move(excluded),
                                             .rank = call.rank(),
                                             .deadline = call.deadline,
                                             .latestStart = call.latestStart,
                                             .localTarget = call.relay ? call.relay->target : std::string(),
                                             .bulk = call.route.bulk,
                                             .wake = std::move(wake),
                                         });
}

/** Removes a request from the queue on every exit from the wait, including the destruction of the coroutine. */
class QueueGuard
{
public:
    QueueGuard(LoadBalancer &balancer, SlotRequestPtr request)
        : m_balancer(balancer)
        , m_request(std::move(request))
    {
    }

    QueueGuard(const QueueGuard &) = delete;
    QueueGuard &operator=(const QueueGuard &) = delete;

    ~QueueGuard()
    {
        m_balancer.finish(m_request);
    }

private:
    LoadBalancer &m_balancer;
    SlotRequestPtr m_request;
};

SlotGrant finishRequest(CallContext &call, const SlotRequestPtr &request)
{
    SlotGrant grant;
    grant.result = call.core.balancer.finish(request);
    grant.expectedWait = request->expectedWait();
    call.expectedWait = grant.expectedWait;
    if (grant.result == SlotResult::Granted) {
        const auto now = std::chrono::steady_clock::now();
        grant.lease = SlotLease(call.core.balancer, call.service.name, request->target(), now);
    }
    return grant;
}

} // namespace

asio::awaitable<SlotGrant> waitForSlot(CallContext &call, std::vector<Endpoint> excluded)
{
    call.stages.enter(CallStage::Slot, std::chrono::steady_clock::now());
    if (excluded.empty()) {
        call.updateLatestStart();
    }
    const auto timer = std::make_shared<asio::steady_timer>(*call.context, std::min(call.deadline, call.latestStart));
    const auto request = makeRequest(call, std::move(excluded), makeTimerWake(call.context, timer));
    const QueueGuard guard(call.core.balancer, request);
    const auto started = std::chrono::steady_clock::now();
    if (call.core.balancer.acquire(request, started)) {
        call.endWait = [timer] {
            timer->cancel();
        };
        call.watch.setCancelCallback(call.endWait);
        std::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        call.watch.setCancelCallback(nullptr);
        call.endWait = nullptr;
        call.waited += std::chrono::steady_clock::now() - started;
    }
    co_return finishRequest(call, request);
}

asio::awaitable<SlotGrant> waitForFirstSlot(CallContext &call)
{
    auto &suspects = call.core.suspects;
    if (suspects.any()) {
        auto crashed = suspects.crashedTargets(call.crashDigest(), std::chrono::steady_clock::now());
        if (!crashed.empty()) {
            call.updateLatestStart();
            auto grant = co_await waitForSlot(call, std::move(crashed));
            if (grant.result != SlotResult::NoTarget) {
                co_return grant;
            }
        }
    }
    co_return co_await waitForSlot(call, {});
}

SlotGrant takeFreeSlot(CallContext &call, std::vector<Endpoint> excluded)
{
    const auto request = makeRequest(call, std::move(excluded), [] {});
    call.core.balancer.acquire(request, std::chrono::steady_clock::now());
    return finishRequest(call, request);
}

Refusal refusalFor(const SlotGrant &grant, CallContext &call)
{
    switch (grant.result) {
    case SlotResult::NoTarget:
        return notRunRefusal("no target", call);
    case SlotResult::NoRoom:
        return notRunRefusal("no room at any target", call);
    case SlotResult::QueueFull:
        return notRunRefusal("queue full", call);
    case SlotResult::TooLate:
        return notRunRefusal("deadline before a slot", call);
    default:
        return notRunRefusal("no slot in time", call);
    }
}

Refusal notRunRefusal(const char *reason, CallContext &call)
{
    auto &balancer = call.core.balancer;
    const auto retryAfter = call.core.options.headers.fractionalRetryAfter
        ? balancer.retryAfter(call.expectedWait)
        : std::chrono::seconds(balancer.retryAfterSeconds(call.service.name));
    return {.status = 503, .reason = reason, .retryAfter = retryAfter};
}

Refusal stoppingRefusal(CallContext &call)
{
    return notRunRefusal("the node stops before a response is expected", call);
}

} // namespace Hornbeam
