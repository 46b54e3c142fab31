#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** A service: targets announce that they serve it, and routes send requests to it. */
struct Service
{
    std::string name; ///< Unique; 1..128 characters of [a-z0-9-].
    std::uint32_t slotsPerTarget = 0; ///< Concurrent requests per target; 0 uses the target's own number. 0..10000.
    std::chrono::milliseconds attemptTimeout{2000}; ///< Time to the first byte of a response, per attempt. 10..600000.
    std::uint64_t maxRequestBytes = 64ULL << 20; ///< Maximum size of a request body.
    std::uint32_t maxConnections = 0; ///< Connections that a target accepts from all nodes together; 0 for no limit.

    friend auto operator<=>(const Service &, const Service &) = default;
};

} // namespace Hornbeam
