#pragma once

#include <hornbeam/base/endpoint.h>

#include <chrono>
#include <cstdint>
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
};

} // namespace Hornbeam
