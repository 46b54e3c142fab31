#pragma once

#include <hornbeam/base/endpoint.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Hornbeam {

/** When a node first answered a call under a version; empty when it did not within the timeout. */
using ServedTime = std::optional<std::chrono::steady_clock::time_point>;

/** Polls nodes from a few threads, on one kept-alive connection per node, until they serve a version. */
class VersionPoller
{
public:
    /** Node i is reached at @p nodes[i]. Starts the threads. */
    explicit VersionPoller(const std::vector<Endpoint> &nodes);

    ~VersionPoller();

    /** Starts to poll @p nodes; no other round may be running. */
    void begin(const std::vector<int> &nodes, std::uint64_t version, std::chrono::milliseconds timeout);

    /** Waits for the end of the round; the times are in the order of the nodes of begin(). */
    std::vector<ServedTime> wait();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
