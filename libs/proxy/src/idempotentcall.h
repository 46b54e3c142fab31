#pragma once

#include "upstreamexchange.h"

#include <vector>

namespace Hornbeam {

/** Runs a request that may be repeated: a failed attempt is retried on another target within the retry budget. */
class IdempotentCall
{
public:
    explicit IdempotentCall(CallContext &call);

    /** Answers the caller, or closes its connection. */
    asio::awaitable<void> run();

private:
    asio::awaitable<void> attempt();
    asio::awaitable<AttemptStatus> exchangeOn(UpstreamExchange &exchange);
    asio::awaitable<SlotLease> retrySlot(AttemptStatus status);
    asio::awaitable<void> answer(UpstreamExchange &exchange, AttemptStatus status);
    asio::awaitable<void> refuse(Refusal refusal);
    bool mayRetry(AttemptStatus status);

    CallContext &m_call;
    SlotLease m_lease; ///< Slot of the next attempt.
    std::vector<Endpoint> m_tried;
    std::size_t m_attempts = 0;
    bool m_fresh = false; ///< The next attempt opens a connection.
};

} // namespace Hornbeam
