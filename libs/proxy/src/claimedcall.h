#pragma once

#include "upstreamexchange.h"

#include <hornbeam/claims/claimcoordinator.h>

#include <optional>
#include <vector>

namespace Hornbeam {

/**
 * Runs a non-idempotent request at most once. A claim ensures that no other attempt, on any node, sends the request. It
 * is sent on a new connection, and never again once a byte has been written to the socket.
 */
class ClaimedCall
{
public:
    explicit ClaimedCall(CallContext &call);

    /** Responds to the caller, or closes its connection. */
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

/** The identity of a non-idempotent request; std::nullopt if it lacks the key that its route requires. */
std::optional<Digest> requestIdentityOf(CallContext &call);

} // namespace Hornbeam
