#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** An operator's order to move the traffic of a service to the targets of another version. */
struct RolloutOrder
{
    std::string service;
    std::string version; ///< To which the traffic is moved.
    std::chrono::milliseconds duration{0}; ///< From the order to its deadline.
    std::int64_t revision = 0; ///< Store revision of the order; a later order of the service has a higher one.

    friend auto operator<=>(const RolloutOrder &, const RolloutOrder &) = default;
};

} // namespace Hornbeam
