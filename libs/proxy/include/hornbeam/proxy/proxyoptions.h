#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/proxy/headernames.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Hornbeam {

/** Settings of the proxy server. */
struct ProxyOptions
{
    Endpoint listen; ///< Address for callers. Port 0 lets the system choose a port.
    std::string zone; ///< Availability zone of this node, whose targets are preferred.
    std::uint32_t threads = 2; ///< Traffic threads. 1..64.
    std::uint32_t maxConnections = 1000; ///< Further connections wait in the listen backlog. 1..100000.
    std::uint32_t maxHeaderBytes = 32 * 1024; ///< Start line and headers of a request or response. 1024..1048576.
    std::uint32_t maxQueuedRequests = 256; ///< Requests queued for a slot, per service. 0..100000.
    std::uint32_t maxBufferedBytes = 32 * 1024 * 1024; ///< Kept in memory for all requests. 65536..1073741824.
    std::chrono::milliseconds idleTimeout{60000}; ///< Time after which an idle caller connection is closed.
    std::chrono::milliseconds drainBound{30000}; ///< Time limit of a graceful shutdown.
    std::uint32_t retryBudgetPercent = 10; ///< Allowed retries, as a percentage of a service's requests. 0..100.
    std::chrono::milliseconds slowStart{10000}; ///< Time until a new target gets its full share of requests.
    std::chrono::milliseconds crashWindow{30000}; ///< Time for which a request is suspected after a crash.
    std::string
        nodeId{}; ///< Names this node in the requests that it relays, see ProxyServer::peerStops(); empty for none.
    std::optional<Endpoint> relayListen{}; ///< Address for requests of other nodes to targets on this host.
    HeaderNames headers{};
    bool routeTimeoutCapsDeadline = false; ///< A route's timeout also limits a longer deadline of a caller.
    bool acceptUnframedResponses = false; ///< Accepts responses that are delimited by the end of the connection.
    double linkMegabitsPerSecond = 0; ///< Bandwidth of the host's link in each direction; 0 for no pacing.
    bool targetPace = false; ///< Whether the targets on this host are paced when they start or recover.
    int quarantineStatus = 422; ///< HTTP status of the refusal of a quarantined request.
    std::string hostService{}; ///< Service of the target on this host, sent to targets as the origin service.
    double retryBudgetRatio = 0; ///< Retries of all nodes per request of a service, 0..1; 0 uses retryBudgetPercent.
    std::uint32_t retryBudgetReserve = 0; ///< Bucket size, in retries, of all nodes together; for retryBudgetRatio.
    std::chrono::milliseconds stopNotice{500}; ///< Time after a stop in which connections are still accepted.
};

} // namespace Hornbeam
