#pragma once

#include "callerwatch.h"
#include "largeresponse.h"
#include "refusal.h"
#include "relayheader.h"
#include "requestbody.h"
#include "servercore.h"
#include "upstreampool.h"

#include <hornbeam/base/digest.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** Who sent a request to this node. */
enum class CallOrigin {
    Caller,
    Peer, ///< Another node, for a target of this host.
};

/** What serves the connection on which a request arrived. */
struct CallEnvironment
{
    ServerCore &core;
    UpstreamPool &pool;
    const std::shared_ptr<asio::io_context> &context; ///< Not owned: the context owns the handling.
    HttpStream &caller;
    RoutingStatePtr state; ///< In effect when the request arrived.
};

/** One caller's request with everything that its handling needs. Lives as long as the handling. */
struct CallContext : CallEnvironment
{
    /** A request of a caller. */
    CallContext(CallEnvironment environment, const Route &matchedRoute, const Service &routeService);

    /** A request that another node sends for a target of this host; @p relayRoute stands for the route. */
    CallContext(CallEnvironment environment,
                const RelayRequest &relayRequest,
                const Route &relayRoute,
                const Service &targetService);

    const CallOrigin origin;
    const Route &route; ///< Part of the state's snapshot, or made from the relay header.
    const Service &service; ///< The one that the request goes to; part of the state's snapshot or made likewise.
    std::optional<RelayRequest> relay; ///< For a request of another node.
    RequestBody body;
    CallerWatch watch;
    TimePoint started;
    TimePoint deadline;
    TimePoint objective = TimePoint::max(); ///< Until then, the response has its full worth.
    TimePoint latestStart = TimePoint::max(); ///< The request waits for a slot until then.
    Duration expectedWait = Duration::zero(); ///< At the targets, when the request last looked for one.
    bool nested = false; ///< A request that runs at a target of this host makes this call.
    std::optional<LargeResponse> large; ///< The response of the attempt that runs, if it is large.
    bool repeated = false; ///< A target may have run the request before.
    bool late = false; ///< The response will miss its objective.
    bool dependencyFailed = false; ///< Reported to the node that sent the request.
    bool arrivedAtTarget = false; ///< A target has refused the request.
    bool offeredWholeWait = false; ///< The last target could let the request wait until its latest start.
    Duration waited = Duration::zero(); ///< Time spent waiting for others, which is not the proxy's own time.
    TimePoint firstSend; ///< When the first attempt sent its first byte.
    bool sentToTarget = false; ///< A target may have received a part of the request.
    bool keepOpen = false; ///< The caller got a whole response and its connection can take another request.

    const HttpHead &head() const
    {
        return caller.reader().head();
    }

    /** Digest by which crash reports and the quarantine name the request; valid once the body is buffered. */
    const Digest &crashDigest();

    /** Whether targets sign their responses, so that others are recognised and replaced. */
    bool signedResponses() const
    {
        return !core.options.headers.signature.empty();
    }

    /** The caller's identifier of the request, or null. */
    const std::string *requestId() const;

    /** Order in which the request gets a slot. */
    AdmissionRank rank() const;

    /** Name of the route that the request matched, here or at the node that sent it. */
    const std::string &routeName() const;

    /** Whether a service that requests of the route call has so little room that their calls would push others out. */
    bool isDependencyBusy() const;

    /** Sets how long the request may wait for a slot, from its objective and the time that targets take. */
    void updateLatestStart();

    /** The wait that a remote target may let the request have, when it is sent at @p now. */
    Duration waitToOffer(TimePoint now);

    /** Headers of the request that the proxy writes itself. */
    std::vector<std::string_view> headersToReplace() const;

    /** Headers for the node that sent the request; empty for a caller. */
    std::string loadHeader() const;

    /** Whether the caller's connection can take another request after this one. */
    bool canKeepAlive() const;

    /** The same after a refusal: callers that are refused open further connections, and the node must not run out. */
    bool canKeepAliveAfterRefusal() const;

    /** Records a decision about the request. */
    void log(std::string_view decision, std::string_view reason, int status, std::string_view target = {}) const;

    /** Writes a refusal to the caller and counts it. "Not run" becomes "unknown" once a target got anything. */
    asio::awaitable<void> refuse(Refusal refusal);

private:
    std::optional<Digest> m_crashDigest;
};

/** Writes a refusal for a request that may have no route. Returns whether the connection can be kept. */
asio::awaitable<bool> writeRefusal(ServerCore &core, HttpStream &caller, Refusal refusal, RefusalFormat format);

} // namespace Hornbeam
