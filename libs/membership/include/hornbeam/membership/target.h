#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/config/label.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Hornbeam {

enum class TargetState {
    Serving,
    Leaving, ///< Finishes its current requests and accepts no new ones.
};

/** A target as the node on its host announces it to other nodes. */
struct Target
{
    Endpoint address;
    std::string service;
    std::string zone;
    std::vector<Label> labels{}; ///< Sorted.
    std::uint32_t slots = 1; ///< Maximum number of concurrent requests. 1..10000.
    TargetState state = TargetState::Serving;
    std::uint64_t instance = 0; ///< Identifies one run of the target process; a restart gets a higher number.
    std::string name{}; ///< Name that the target checks in requests; empty for none. At most 128 characters.
    Endpoint gateway{}; ///< Relay listener of its node if other hosts cannot connect to the target; else port 0.
    std::string version{}; ///< Of its software; empty if it is not known. At most 64 characters.

    /** Whether other hosts can reach the target only through the relay listener of its node. */
    bool isBehindGateway() const
    {
        return gateway.port() != 0;
    }

    friend auto operator<=>(const Target &, const Target &) = default;
};

} // namespace Hornbeam
