#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace Hornbeam {

/** Limits on the requests and connections of callers. 0 means that the node's own setting applies. */
struct TrafficLimits
{
    std::uint32_t maxHeaderBytes = 0; ///< Request line and headers together.
    std::uint64_t maxBodyBytes = 0; ///< Request body.
    std::chrono::milliseconds headerTimeout{0}; ///< From the first byte of a request to the end of its headers.
    std::chrono::milliseconds idleTimeout{0}; ///< Between two requests on a connection.

    friend auto operator<=>(const TrafficLimits &, const TrafficLimits &) = default;
};

} // namespace Hornbeam
