#pragma once

#include "fleet.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace Hornbeam {

/** Bytes sent and received by nodes, as they count them. */
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

/** Sums the counters of all nodes of a fleet over restarts, which set a node's counters to zero. */
class CounterBook
{
public:
    explicit CounterBook(Fleet &fleet);

    /** Kills a node and keeps what it has counted. */
    void killNode(int node);

    /** Bytes of all nodes since their start. */
    ControlBytes bytes() const;

    /** CPU time of all nodes since their start. */
    std::chrono::milliseconds cpu() const;

private:
    ControlBytes bytesOf(int node) const;

    Fleet &m_fleet;
    ControlBytes m_killedBytes;
    std::chrono::milliseconds m_killedCpu{0};
};

} // namespace Hornbeam
