#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>

#include <chrono>
#include <compare>

namespace Hornbeam {

/** A report, gossiped to all nodes, that a target crashed while it executed a request. */
struct Rumor
{
    Digest request; ///< Identifies the request.
    Endpoint target;
    std::chrono::milliseconds timeToLive{0}; ///< Remaining time; 1..3600000.

    friend auto operator<=>(const Rumor &, const Rumor &) = default;
};

} // namespace Hornbeam
