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
    Leaving, ///< Finishes its requests and takes no new ones.
};

/** A target as its node announces it to the other nodes. */
struct Target
{
    Endpoint address;
    std::string service;
    std::string zone;
    std::vector<Label> labels{}; ///< Sorted.
    std::uint32_t slots = 1; ///< Requests it runs at the same time. 1..10000.
    TargetState state = TargetState::Serving;
    std::uint64_t instance = 0; ///< Higher at each start of a target at the same address.
    std::string name{}; ///< Name that the target has for itself and checks; empty for none. At most 128 characters.
    Endpoint gateway{}; ///< Relay listener of its node, if only processes on its host can reach it; else port 0.

    /** Whether nodes on other hosts can reach the target only through its own node. */
    bool isBehindGateway() const
    {
        return gateway.port() != 0;
    }

    friend auto operator<=>(const Target &, const Target &) = default;
};

} // namespace Hornbeam
