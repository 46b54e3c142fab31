#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/proxy/headernames.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Hornbeam {

/** Limits and addresses of the traffic path. */
struct ProxyOptions
{
    Endpoint listen; ///< Port 0 lets the system choose.
    std::string zone; ///< Targets of this zone are preferred.
    std::uint32_t threads = 2; ///< 1..64.
    std::uint32_t maxConnections = 1000; ///< Further connections wait in the listen backlog. 1..100000.
    std::uint32_t maxHeaderBytes = 32 * 1024; ///< Request or response line and headers. 1024..1048576.
    std::uint32_t maxQueuedRequests = 256; ///< Requests that wait for a slot, per service. 0..100000.
    std::chrono::milliseconds idleTimeout{60000}; ///< Closes a caller's connection without a request.
    std::chrono::milliseconds drainBound{30000}; ///< Longest graceful shutdown.
    std::uint32_t retryBudgetPercent = 10; ///< Retries allowed, as a share of the requests. 0..100.
    std::chrono::milliseconds slowStart{10000}; ///< Time over which a new target's share grows to its full one.
    std::chrono::milliseconds crashWindow{30000}; ///< How long a crash is remembered against a request.
    std::optional<Endpoint> relayListen{}; ///< Where other nodes send requests for the targets of this host.
    HeaderNames headers{};
    bool routeTimeoutBinds = false; ///< A route's timeout also bounds a caller that sets a longer deadline.
    bool acceptUnframedResponses = false; ///< Targets may end a response with their connection.
    double linkMegabitsPerSecond = 0; ///< Of the host's link in each direction; 0 when it needs no pacing.
    int quarantineStatus = 422; ///< Status for a request that crashes targets.
    std::string hostService{}; ///< Service of the target on this host, the origin of the requests that begin here.
    double retryBudgetRatio = 0; ///< Retries that all nodes may add to a service's requests, 0..1; 0: see percent.
    std::uint32_t retryBudgetReserve = 0; ///< Further retries of all nodes together within the budget's window.
    std::chrono::milliseconds stopNotice{500}; ///< Time in which callers learn of a stop; requests are still taken.
};

} // namespace Hornbeam
