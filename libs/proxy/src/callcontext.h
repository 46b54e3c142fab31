#pragma once

#include "callerwatch.h"
#include "refusal.h"
#include "requestbody.h"
#include "servercore.h"
#include "upstreampool.h"

#include <hornbeam/base/digest.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <optional>

namespace Hornbeam {

/** One caller's request with everything that its handling needs. Lives as long as the handling. */
struct CallContext
{
    CallContext(ServerCore &serverCore,
                UpstreamPool &threadPool,
                const std::shared_ptr<asio::io_context> &threadContext,
                HttpStream &callerStream,
                RoutingStatePtr routingState,
                const Route &matchedRoute,
                const Service &routeService);

    ServerCore &core;
    UpstreamPool &pool;
    const std::shared_ptr<asio::io_context> &context; ///< Not owned: the context owns the handling.
    HttpStream &caller;
    RoutingStatePtr state;
    const Route &route; ///< Part of the state's snapshot.
    const Service &service; ///< Part of the state's snapshot.
    RequestBody body;
    CallerWatch watch;
    TimePoint started;
    TimePoint deadline;
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

    /** Whether the caller's connection can take another request after this one. */
    bool canKeepAlive() const;

    /** Writes a refusal to the caller and counts it. "Not run" becomes "unknown" once a target got anything. */
    asio::awaitable<void> refuse(Refusal refusal);

private:
    std::optional<Digest> m_crashDigest;
};

/** Writes a refusal for a request that may have no route. Returns whether the connection can be kept. */
asio::awaitable<bool> writeRefusal(
    ServerCore &core, HttpStream &caller, Refusal refusal, std::uint64_t version, bool keepAlive);

} // namespace Hornbeam
