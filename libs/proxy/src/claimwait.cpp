#include "claimwait.h"

#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace Hornbeam {

namespace {

/** Additional wait for the callback of the coordinator, which is due by the deadline. */
constexpr auto replyGracePeriod = std::chrono::milliseconds(500);

/** Used on the traffic thread only. The coordinator may keep it longer than the call, so it does not own the timer. */
struct PendingClaim
{
    asio::steady_timer *timer = nullptr; ///< Null once the call has stopped waiting.
    std::optional<ClaimDecision> decision;
};

/** Marks the wait as ended on every exit from it, including the destruction of the coroutine. */
class WaitGuard
{
public:
    explicit WaitGuard(std::shared_ptr<PendingClaim> pending)
        : m_pending(std::move(pending))
    {
    }

    WaitGuard(const WaitGuard &) = delete;
    WaitGuard &operator=(const WaitGuard &) = delete;

    ~WaitGuard()
    {
        m_pending->timer = nullptr;
    }

private:
    std::shared_ptr<PendingClaim> m_pending;
};

void handleDecision(const std::shared_ptr<PendingClaim> &pending, ClaimDecision decision, ClaimCoordinator &claims)
{
    if (pending->timer == nullptr) {
        if (decision.outcome == ClaimOutcome::Granted) {
            claims.release(decision.ticket);
        }
        return;
    }
    pending->decision = std::move(decision);
    pending->timer->cancel();
}

} // namespace

asio::awaitable<ClaimDecision> waitForClaim(CallContext &call, const Digest &identity)
{
    auto &claims = call.core.dependencies.claims;
    const auto started = std::chrono::steady_clock::now();
    asio::steady_timer timer(*call.context, call.deadline + replyGracePeriod);
    const auto pending = std::make_shared<PendingClaim>();
    pending->timer = &timer;
    const WaitGuard guard(pending);
    claims.claim(identity,
                 call.deadline,
                 [pending, &claims, context = std::weak_ptr(call.context)](ClaimDecision decision) mutable {
                     const auto running = context.lock();
                     if (!running) {
                         return;
                     }
                     auto handler = [pending, &claims, decision = std::move(decision)]() mutable {
                         handleDecision(pending, std::move(decision), claims);
                     };
                     asio::post(*running, std::move(handler));
                 });
    std::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    call.waited += std::chrono::steady_clock::now() - started;
    co_return pending->decision.value_or(ClaimDecision{});
}

} // namespace Hornbeam
