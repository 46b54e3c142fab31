#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hornbeam {

/** Identity of the node and parameters of the failure detector. */
struct FailureDetectorOptions
{
    std::string id; ///< Unique per process start; 1..64 characters.
    std::string zone; ///< 1..64 characters.
    Endpoint advertisedAddress; ///< Address at which other nodes reach this one; may differ from the listen address.
    std::vector<Endpoint> seeds{}; ///< Addresses to join through; the node's own is skipped.
    Duration probePeriod = std::chrono::seconds(1); ///< One member is probed per period.
    Duration probeTimeout = std::chrono::milliseconds(300); ///< Without an ack, indirect probes follow; < probePeriod.
    std::uint32_t indirectProbes = 3; ///< Members that are asked to probe on behalf of this node. 0..16.
    Duration suspicionTimeout = std::chrono::seconds(4); ///< A suspect that does not refute in time is declared failed.
    Duration antiEntropyPeriod = std::chrono::seconds(5); ///< Mean time between table comparisons with another member.
    Duration tombstoneLifetime = std::chrono::minutes(10); ///< How long failed and left members stay in the table.
    std::uint32_t eagerFanout = 3; ///< Members that a new update is sent to immediately. 1..16.
    std::uint32_t retransmissions = 4; ///< Later datagrams that carry an update again. 0..64.
    Duration joinJitter = std::chrono::milliseconds(0); ///< Upper bound of the random delay of the first join attempt.
    BackoffOptions joinBackoff{.initial = std::chrono::milliseconds(200), .maximum = std::chrono::seconds(5)};
    std::uint32_t maxPagesPerSecond = 4000; ///< Rate limit of served table pages; requests above it are dropped.
    std::uint64_t randomSeed = 0; ///< Seed of the random number generator; 0 takes one from the operating system.
};

} // namespace Hornbeam
