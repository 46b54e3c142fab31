#pragma once

#include "slotwait.h"
#include "upstreamexchange.h"

#include <vector>

namespace Hornbeam {

/**
 * Runs a request whose repetition needs no record: an attempt that certainly did not run is sent elsewhere, and one
 * that may have run is repeated only if the route is idempotent, within its attempts and the retry budget.
 */
class RoutedCall
{
public:
    explicit RoutedCall(CallContext &call);

    /** Answers the caller, or closes its connection. */
    asio::awaitable<void> run();

private:
    /** What an attempt proves about the request. */
    enum class Verdict {
        Answered, ///< The response is the answer.
        NotRun, ///< The request did not run and will not.
        MayHaveRun, ///< The attempt failed, or the target answered with a failure.
    };

    asio::awaitable<void> attempt();
    asio::awaitable<AttemptStatus> exchangeOn(UpstreamExchange &exchange);
    Verdict judge(UpstreamExchange &exchange, AttemptStatus status);
    asio::awaitable<void> checkTarget(UpstreamExchange &exchange, AttemptStatus status);
    void noteNotRun(const UpstreamExchange &exchange, AttemptStatus status);
    bool mayTryAgain(const UpstreamExchange &exchange, AttemptStatus status, Verdict verdict);
    bool mayRepeat(AttemptStatus status);
    asio::awaitable<SlotLease> nextSlot(AttemptStatus status);
    asio::awaitable<void> answer(UpstreamExchange &exchange, AttemptStatus status, Verdict verdict);
    asio::awaitable<void> forward(UpstreamExchange &exchange);
    asio::awaitable<void> refuse(Refusal refusal);

    CallContext &m_call;
    SlotLease m_lease; ///< Slot of the next attempt.
    std::vector<Endpoint> m_excluded; ///< Targets that failed or refused the request.
    std::size_t m_attempts = 0; ///< Attempts that a target may have run.
    std::size_t m_sends = 0; ///< All attempts.
    bool m_fresh = false; ///< The next attempt opens a connection.
    bool m_mayHaveRun = false;
    bool m_crashed = false; ///< The last target has ended while it ran the request.
};

} // namespace Hornbeam
