#pragma once

#include "callerexchange.h"
#include "callstages.h"
#include "largeresponse.h"
#include "refusal.h"
#include "relayheader.h"
#include "requestbody.h"
#include "servercore.h"
#include "upstreampool.h"

#include <hornbeam/base/digest.h>
#include <hornbeam/proxy/requestlog.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Hornbeam {

class LinkTurn;

/** Who sent a request to this node. */
enum class CallOrigin {
    Caller,
    Peer, ///< Another node, for a target of this host.
};

/** The objects that serve the connection on which a request arrived. */
struct CallEnvironment
{
    ServerCore &core;
    UpstreamPool &pool;
    const std::shared_ptr<asio::io_context> &context; ///< Not owned: it owns the coroutine of the call.
    CallerExchange &caller;
    RoutingStatePtr state; ///< The state in effect when the request arrived.
};

/** A request of a caller or another node, with the state of its handling. Exists until the response is complete. */
struct CallContext : CallEnvironment
{
    /** Creates the context of a caller's request. */
    CallContext(CallEnvironment environment,
                const Route &matchedRoute,
                const Service &routeService,
                std::optional<CallAccount> callAccount);

    /** Creates the context of a request from another node. @p relayRoute: made from its relay header. */
    CallContext(CallEnvironment environment,
                const RelayRequest &relayRequest,
                const Route &relayRoute,
                const Service &targetService);

    const CallOrigin origin;
    const Route &route; ///< From the state's snapshot, or made from the relay header.
    const Service &service; ///< Service of the target; from the state's snapshot or made from the relay header.
    std::optional<RelayRequest> relay; ///< Set for a request from another node.
    std::optional<RelaySender> sender; ///< The node that has relayed the request, if it names itself.
    std::optional<CallAccount> account; ///< The client account; nothing if the request has none.
    RequestBody body;
    CallerWatch &watch;
    TimePoint started;
    TimePoint deadline;
    TimePoint objective = TimePoint::max(); ///< Time by which the route's latency objective is met.
    TimePoint latestStart = TimePoint::max(); ///< End of the wait for a slot.
    Duration expectedWait = Duration::zero(); ///< For a slot, as estimated at the last choice of a target.
    bool nested = false; ///< Made by a request that is running at a target of this host.
    std::optional<LargeResponse> large; ///< The response of the current attempt, if it is large.
    LinkTurn *linkTurn = nullptr; ///< The piece of the response that waits for the link; null for none.
    std::function<void()> endWait; ///< Ends the wait for a slot; null while there is none.
    bool repeated = false; ///< A target may already have run the request.
    bool late = false; ///< The request is expected to miss its latency objective.
    bool dependencyFailed = false; ///< Refused because of a busy dependency; reported to the sending node.
    bool arrivedAtTarget = false; ///< A target refused the request; reported to the sending node.
    Duration waited = Duration::zero(); ///< For slots, claims and the caller's body; not counted as proxy latency.
    CallStages stages; ///< What the request has waited for.
    std::string targetName; ///< Target of the last attempt.
    std::uint64_t responseBytes = 0; ///< Size of the response body; 0 if it is not known.
    std::uint64_t sentBytes = 0; ///< Bytes of the response body that were passed to the caller's connection.
    TimePoint firstSend; ///< Time at which the first attempt started to send.
    bool sentToTarget = false; ///< A target may have received part of the request.
    bool takenToken = false; ///< A token of the account's rate limit was taken and not given back.
    bool keepOpen = false; ///< The caller got a complete response and its connection can be reused.

    const HttpHead &head() const
    {
        return caller.head();
    }

    /** Identifies the request in crash reports and the quarantine. Call it after the body was buffered. */
    const Digest &crashDigest();

    /** Whether targets sign their responses, so that responses without a signature are rejected and retried. */
    bool signedResponses() const
    {
        return !core.options.headers.signature.empty();
    }

    /** Moves the deadline to @p end unless it is earlier, also for the place of a large response in the link's queue.
     */
    void limitDeadline(TimePoint end);

    /** The request id that the caller sent; null if there is none. */
    const std::string *requestId() const;

    /** Rank of the request in the queue for a slot. */
    AdmissionRank rank() const;

    /** Name of the route that the request matched, on this node or on the node that sent it. */
    const std::string &routeName() const;

    /** Whether a service that the request calls is overloaded, so that its nested calls would displace other requests.
     */
    bool isDependencyBusy() const;

    /**
     * Whether this node may stop before the response is complete, so that the request must not be sent. Also limits the
     * deadline to the end of the stop. UpstreamExchange asks before it sends; asking earlier saves a wait.
     */
    bool outlastsStop();

    /** The last moment at which the request can be sent and its response be complete before the deadline. */
    TimePoint latestSend() const;

    /** Whether the request has to wait for its turn in ServerCore::stopQueue. */
    bool needsStopTurn() const;

    /** Whether the node with this id has relayed the request. */
    bool isRelayedBy(const std::string &nodeId) const
    {
        return sender && sender->nodeId == nodeId;
    }

    /** Records the time since the request was first sent, for outlastsStop() of later ones. */
    void noteResponseTime() const;

    /**
     * Whether the deadline has passed because this node stops, not because the caller's time is over. Also limits the
     * deadline to the end of the stop.
     */
    bool isEndedByStop(TimePoint now);

    /** Computes the end of the wait for a slot from the latency objective and the typical service time. */
    void updateLatestStart();

    /** Longest time for which a remote target may queue the request if it is sent at @p now. */
    Duration maxRemoteWait(TimePoint now) const;

    /** Names of request headers that the proxy replaces by its own. */
    std::vector<std::string_view> headersToReplace() const;

    /** The load report as a header for the node that sent the request; empty for a caller. */
    std::string loadHeader() const;

    /**
     * Waits for the turn of the response and decides whether the caller's connection stays open after it. @p possible:
     * false if the end of the connection marks the end of the response.
     */
    asio::awaitable<bool> decideKeepAlive(bool possible = true);

    /** Writes a decision about the request to the request log. */
    void log(std::string_view decision, std::string_view reason, int status, std::string_view target = {}) const;

    /** Also writes what the request has waited for, for one whose response is incomplete. */
    void logIncomplete(std::string_view decision, std::string_view reason, int status) const;

    /**
     * Takes a token of the account's rate limit; nothing if the request may run. A nested call belongs to the request
     * that makes it, and requests without an account have no limit.
     */
    std::optional<Refusal> takeToken();

    /** Sends a refusal and counts it. Its outcome NotRun becomes Unknown if a target may have received the request. */
    asio::awaitable<void> refuse(Refusal refusal);

private:
    void giveTokenBack();
    RequestEvent eventOf(std::string_view decision, std::string_view reason, int status, TimePoint now) const;
    bool canKeepAlive() const;
    bool canKeepAliveAfterRefusal() const;
    Duration typicalTime() const;
    bool isLimitedByStop();

    bool m_limitedByStop; ///< The deadline is the end of a graceful shutdown of this node.
    std::optional<Digest> m_crashDigest;
};

/** Sends a refusal, also for a request without a route. Returns whether the connection can be reused. */
asio::awaitable<bool> writeRefusal(ServerCore &core, CallerExchange &caller, Refusal refusal, RefusalFormat format);

} // namespace Hornbeam
