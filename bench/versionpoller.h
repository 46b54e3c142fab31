#pragma once

#include <hornbeam/base/endpoint.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Hornbeam {

/** When a node first served a version; empty when it did not within the timeout. */
using ServedTime = std::optional<std::chrono::steady_clock::time_point>;

/** Polls nodes until they serve a version, on one keep-alive connection per node and from a few threads. */
class VersionPoller
{
public:
    /** Starts the threads. Node i is polled at the address @p nodes[i]. */
    explicit VersionPoller(const std::vector<Endpoint> &nodes);

    ~VersionPoller();

    /** Starts to poll @p nodes. The previous round must have ended. */
    void begin(const std::vector<int> &nodes, std::uint64_t version, std::chrono::milliseconds timeout);

    /** Waits until the round ends. Returns the times in the order of the nodes passed to begin(). */
    std::vector<ServedTime> wait();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
