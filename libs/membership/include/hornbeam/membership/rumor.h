#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace Hornbeam {

/**
 * A report, gossiped to all nodes, that a target crashed while it executed a request, or the refutation of such a
 * report.
 */
struct Rumor
{
    Digest request; ///< Identifies the request.
    Endpoint target;
    std::uint64_t event = 0; ///< Distinguishes the crashes of the target during this request.
    bool refuted = false; ///< The request has since succeeded, so it is not the cause of the crash.
    std::chrono::milliseconds timeToLive{0}; ///< Remaining time; 1..3600000.

    friend auto operator<=>(const Rumor &, const Rumor &) = default;
};

} // namespace Hornbeam
