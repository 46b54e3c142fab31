#pragma once

#include "linkturn.h"
#include "slotwait.h"
#include "upstreamexchange.h"

#include <optional>
#include <vector>

namespace Hornbeam {

/**
 * Runs a request that needs no claim: one of an idempotent route, or one whose attempts are separate requests. If a
 * target certainly did not run the request, it is sent to another target. If a target may have run it, it is repeated
 * only if the route is idempotent, within the attempts of the route and the retry budget.
 */
class RetryableCall
{
public:
    explicit RetryableCall(CallContext &call);

    /** Responds to the caller, or closes its connection. */
    asio::awaitable<void> run();

private:
    /** What the result of an attempt implies for the request. */
    enum class Outcome {
        Answered, ///< The response can be forwarded to the caller.
        NotRun, ///< The request did not run and will not.
        MayHaveRun, ///< The attempt failed, or the target responded with an error status.
    };

    asio::awaitable<void> attempt();
    asio::awaitable<AttemptStatus> exchangeOn(UpstreamExchange &exchange);

    /**
     * Waits until no other request of this node waits for a large response of unknown size: until then, it is not known
     * whether another one fits into the stop as well. Those with the least time left come first.
     */
    asio::awaitable<void> waitForStopTurn();

    void announceSize(UpstreamExchange &exchange);
    Outcome classify(UpstreamExchange &exchange, AttemptStatus status);
    asio::awaitable<void> checkTarget(UpstreamExchange &exchange, AttemptStatus status);
    void recordNotRun(const UpstreamExchange &exchange, AttemptStatus status);
    bool mayTryAgain(const UpstreamExchange &exchange, AttemptStatus status, Outcome outcome);
    bool mayRepeat(AttemptStatus status);
    asio::awaitable<SlotLease> nextSlot(AttemptStatus status);
    asio::awaitable<void> answer(UpstreamExchange &exchange, AttemptStatus status, Outcome outcome);
    asio::awaitable<void> forward(UpstreamExchange &exchange);
    asio::awaitable<void> refuse(Refusal refusal);

    CallContext &m_call;
    std::optional<LinkTurn> m_stopTurn; ///< Held until the size of the response is known.
    SlotLease m_lease; ///< Slot for the next attempt.
    std::vector<Endpoint> m_excluded; ///< Targets that refused or failed the request.
    std::size_t m_attempts = 0; ///< Attempts in which a target may have run the request.
    std::size_t m_sends = 0; ///< All attempts, including those that did not run.
    bool m_needsNewConnection = false; ///< The next attempt must not use an idle connection.
    bool m_mayHaveRun = false;
    bool m_crashed = false; ///< The last target crashed while it ran the request.
};

} // namespace Hornbeam
