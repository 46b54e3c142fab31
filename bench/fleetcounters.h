#pragma once

#include "fleet.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace Hornbeam {

/** Control traffic sent and received by nodes, according to their metrics. */
struct ControlBytes
{
    std::uint64_t store = 0;
    std::uint64_t membership = 0;
    std::uint64_t peer = 0;

    std::uint64_t total() const
    {
        return store + membership + peer;
    }
};

/** Sums the counters of all nodes of a fleet, including those from before a restart, which resets a node's counters. */
class FleetCounters
{
public:
    explicit FleetCounters(Fleet &fleet);

    /** Kills a node after adding its counters to the sums. */
    void killNode(int node);

    /** Control traffic of all nodes since their first start. */
    ControlBytes bytes() const;

    /** CPU time of all nodes since their first start. */
    std::chrono::milliseconds cpu() const;

private:
    ControlBytes bytesOf(int node) const;

    Fleet &m_fleet;
    ControlBytes m_killedBytes;
    std::chrono::milliseconds m_killedCpu{0};
};

} // namespace Hornbeam
