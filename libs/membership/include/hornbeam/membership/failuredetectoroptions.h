#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hornbeam {

/** Identity of the node and periods of the failure detection. */
struct FailureDetectorOptions
{
    std::string id; ///< Unique per process start; 1..64 characters.
    std::string zone; ///< 1..64 characters.
    Endpoint advertisedAddress; ///< Where other nodes reach this one; may differ from the address it listens on.
    std::vector<Endpoint> seeds{}; ///< Nodes to join through; the node's own address is skipped.
    Duration probePeriod = std::chrono::seconds(1); ///< One member is probed per period.
    Duration probeTimeout = std::chrono::milliseconds(300); ///< Then other members probe it; below probePeriod.
    std::uint32_t indirectProbes = 3; ///< Members that are asked to probe. 0..16.
    Duration suspicionTimeout = std::chrono::seconds(4); ///< A suspect that does not refute in this time has failed.
    Duration antiEntropyPeriod = std::chrono::seconds(5); ///< Mean time between two comparisons of the table.
    Duration tombstoneLifetime = std::chrono::minutes(10); ///< How long failed and left members are remembered.
    std::uint32_t eagerFanout = 3; ///< Members that receive a fresh update at once. 1..16.
    std::uint32_t retransmissions = 4; ///< Further messages that repeat an update. 0..64.
    Duration joinSpread = std::chrono::milliseconds(0); ///< The first join attempt is uniform in this time.
    BackoffOptions joinBackoff{.initial = std::chrono::milliseconds(200), .maximum = std::chrono::seconds(5)};
    std::uint32_t maxPagesPerSecond = 4000; ///< Table pages that this node serves; further requests are dropped.
    std::uint64_t seed = 0; ///< Seed of random choices; 0 takes one from the operating system.
};

} // namespace Hornbeam
