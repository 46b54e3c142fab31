#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** A version of a service that live targets run. */
struct RunningVersion
{
    std::string service;
    std::string version;
    std::uint64_t firstInstance = 0; ///< Lowest instance number of its targets, which grows with their start times.
    bool serving = false; ///< Whether a target of the version accepts requests.

    friend auto operator<=>(const RunningVersion &, const RunningVersion &) = default;
};

} // namespace Hornbeam
