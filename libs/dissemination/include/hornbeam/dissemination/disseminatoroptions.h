#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <string>

namespace Hornbeam {

/** Identity of the node and bounds of the distribution. */
struct DisseminatorOptions
{
    std::string id; ///< Member id of the node.
    std::string zone{};
    Endpoint advertisedAddress{}; ///< Where peers fetch from.
    std::uint32_t fanout = 8; ///< Branches of the tree per node. 1..64.
    std::uint32_t remoteZoneFanout = 2; ///< Members of each other zone that the origin pushes to. 1..64.
    Duration pushTimeout = std::chrono::milliseconds(150); ///< Then the next member of the branch is tried.
    Duration fetchTimeout = std::chrono::seconds(1); ///< Short enough for a second peer within the 3 s of a change.
    Duration fetchJitter = std::chrono::milliseconds(50); ///< A fetch starts uniform in this time.
    Duration watchDelay = std::chrono::milliseconds(20); ///< Shortest time before a watcher pushes a version.
    Duration watchJitter = std::chrono::milliseconds(100); ///< Added uniform to the above.
    Duration joinWindow = std::chrono::seconds(2); ///< Time to learn the newest version from peers.
    std::uint32_t maxPushBytes = 256 * 1024; ///< A larger delta is announced and fetched.
    std::uint64_t seed = 0; ///< Seed of random delays; 0 takes one from the operating system.
};

} // namespace Hornbeam
