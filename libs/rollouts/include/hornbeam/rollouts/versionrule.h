#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** Which versions of a service requests may use. Targets of all other versions get nothing. */
struct VersionRule
{
    std::string service;
    std::string stableVersion; ///< Empty if no version may be used.
    std::string freshVersion{}; ///< Of a running roll-out; empty for none.
    std::uint32_t sharePerMille = 0; ///< Of the requests that may use the fresh version; 1000 for all.
    std::int64_t order = 0; ///< RolloutOrder::revision of the roll-out, to which the counts of requests belong.
    std::uint64_t step = 0; ///< Grows with each step; a local cut of the fresh version ends with the next one.
    double shareLimit = 0; ///< Part of all requests since the order that the fresh version gets at most. 0..1.
    double extraRequests = 0; ///< Further requests that it gets at most, from this node.

    friend auto operator<=>(const VersionRule &, const VersionRule &) = default;
};

} // namespace Hornbeam
