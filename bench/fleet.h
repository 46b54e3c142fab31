#pragma once

#include <hornbeam/testsupport/addressblock.h>
#include <hornbeam/testsupport/httpclient.h>
#include <hornbeam/testsupport/processgroup.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

enum class Design {
    Hornbeam, ///< hornbeamd nodes, each with one target.
    Baseline, ///< baselinenode processes, and one additional hornbeamd that serves the operator API.
};

struct FleetOptions
{
    Design design = Design::Hornbeam;
    int nodes = 12;
    int zones = 3;
    int watchersPerZone = 3;
};

/** A confirmed change. */
struct Confirmation
{
    std::uint64_t version = 0;
    std::chrono::steady_clock::time_point time; ///< When the response to the confirm arrived.
};

/**
 * The processes of one measurement, each with its own loopback address and without a fault proxy between them. Node i
 * is in zone i modulo the number of zones; the first two nodes of each zone are the seeds of all nodes.
 */
class Fleet
{
public:
    /** Starts all processes without waiting for the nodes to be ready. Fails when one of them cannot be started. */
    static Result<std::unique_ptr<Fleet>> make(const FleetOptions &options);

    const FleetOptions &options() const
    {
        return m_options;
    }

    std::vector<int> allNodes() const;

    /** Starts a node and returns without waiting for it. */
    Result<pid_t> startNode(int node);

    void killNode(int node);

    pid_t nodePid(int node) const;

    Endpoint traffic(int node) const;

    /** Address of the target that announces itself to the node. */
    Endpoint target(int node) const;

    /** Requests a plan for the intent and confirms it, through a node or the additional hornbeamd of the baseline. */
    Result<Confirmation> apply(int node, const nlohmann::json &intent) const;

    /** The node's metrics in the Prometheus text format; empty when it does not respond. */
    std::string metrics(int node) const;

    nlohmann::json storeStatistics() const;

    /** Announces the additional target @p number to a node; no process listens on its address. */
    bool announce(int node, int number, std::chrono::milliseconds timeToLive) const;

private:
    explicit Fleet(const FleetOptions &options);

    Result<bool> start();
    Result<pid_t> startDaemon(const std::string &name, const nlohmann::json &settings);
    Result<pid_t> startTarget(int node);
    std::string zoneOf(int node) const;
    Endpoint nodeEndpoint(int node, std::uint16_t port) const;
    Endpoint operatorAdmin(int node) const;
    Endpoint store() const;
    nlohmann::json settings(const std::string &zone, const std::string &address, const nlohmann::json &seeds) const;
    nlohmann::json seedsFor(int node) const;

    FleetOptions m_options;
    std::unique_ptr<AddressBlock> m_block;
    std::unique_ptr<ProcessGroup> m_processes; ///< Destroyed before the address block is released.
};

} // namespace Hornbeam
