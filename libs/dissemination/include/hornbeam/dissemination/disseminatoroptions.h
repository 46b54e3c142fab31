#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <string>

namespace Hornbeam {

/** Identity of the node and parameters of the distribution. */
struct DisseminatorOptions
{
    std::string id; ///< Member id of the node.
    std::string zone{};
    Endpoint advertisedAddress{}; ///< Address that peers fetch from.
    std::uint32_t fanout = 8; ///< Maximum number of branches per node of the fan-out tree. 1..64.
    std::uint32_t remoteZoneFanout = 2; ///< Branches per remote zone; only the origin pushes to other zones. 1..64.
    Duration pushTimeout = std::chrono::milliseconds(150); ///< Afterwards the next member of the branch is tried.
    Duration fetchTimeout = std::chrono::seconds(1); ///< Leaves time for another peer: a change has 3 s to reach all.
    Duration fetchJitter = std::chrono::milliseconds(50); ///< Upper bound of the random delay of a fetch.
    Duration watchDelay = std::chrono::milliseconds(20); ///< Minimum delay before a watcher pushes a version.
    Duration watchJitter = std::chrono::milliseconds(100); ///< Upper bound of the random delay added to watchDelay.
    Duration joinWindow = std::chrono::seconds(2); ///< Time for peers to report their versions after a join.
    std::uint32_t maxPushBytes = 256 * 1024; ///< A push omits a larger delta; receivers fetch it.
    std::uint64_t randomSeed = 0; ///< Seed of the random number generator; 0 takes one from the operating system.
};

} // namespace Hornbeam
