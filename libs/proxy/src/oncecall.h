#pragma once

#include "upstreamexchange.h"

#include <hornbeam/claims/claimcoordinator.h>

#include <optional>
#include <vector>

namespace Hornbeam {

/**
 * Runs a request that must not be repeated. A claim makes this attempt the only one that may send it; it is sent on a
 * fresh connection and never again once a byte was handed to the kernel.
 */
class OnceCall
{
public:
    explicit OnceCall(CallContext &call);

    /** Answers the caller, or closes its connection. */
    asio::awaitable<void> run();

private:
    asio::awaitable<void> runClaimed(SlotLease lease);
    asio::awaitable<void> send(UpstreamExchange &exchange);
    asio::awaitable<void> forward(UpstreamExchange &exchange);
    asio::awaitable<void> fail(UpstreamExchange &exchange, AttemptStatus status);
    asio::awaitable<void> answerDecision(const ClaimDecision &decision);

    CallContext &m_call;
    ClaimTicket m_ticket;
};

/** The identity of a non-idempotent request, or nothing when its route asks for a key that the request lacks. */
std::optional<Digest> identityOf(CallContext &call);

} // namespace Hornbeam
