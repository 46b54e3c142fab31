#pragma once

#include <hornbeam/testsupport/addressblock.h>
#include <hornbeam/testsupport/httpclient.h>
#include <hornbeam/testsupport/processgroup.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

struct MeshOptions
{
    std::vector<std::string> zones = {"tampere", "turku", "helsinki"};
    int nodesPerZone = 1;
    int targetsPerNode = 1;
    std::string service = "vuorolista";
    /**
     * Whether targets are announced under their fault proxy links. A link accepts connections even when its target has
     * stopped; set this to false when connections to a stopped target must be refused.
     */
    bool targetsThroughProxy = true;
    std::vector<std::string> targetArguments = {}; ///< Additional arguments of each target stand-in.
    std::vector<std::string> storeArguments = {}; ///< Additional arguments of the store stand-in.
    nlohmann::json settings = nlohmann::json::object(); ///< JSON merge patch for the settings of each node.
    bool relay = false; ///< Whether nodes send requests to a target on another host through the node there.
    std::uint64_t seed = 1; ///< Seed of the fault proxy.
};

/** Response of a node's admin API to a plan or confirm request. */
struct PlanResult
{
    int status = 0; ///< HTTP status; 0 when no response arrived.
    nlohmann::json body; ///< The error message when no response arrived.
};

/**
 * A complete mesh of real processes, each with its own loopback address: the store stand-in, the fault proxy, the nodes
 * and the targets of each node. Nodes are numbered from 0 and assigned to the zones round-robin. Nodes reach each
 * other, the store and the targets through links of the fault proxy named "node-N", "store" and "target-N".
 */
class Mesh
{
public:
    /** Starts all processes and waits until each is ready. An error contains the output of the process that failed. */
    static Result<std::unique_ptr<Mesh>> make(MeshOptions options);

    int nodeCount() const;

    /** The numbers of the nodes in the zone, and of all nodes outside it. */
    std::vector<int> nodesIn(const std::string &zone) const;
    std::vector<int> nodesOutside(const std::string &zone) const;
    std::vector<int> allNodes() const;

    const std::string &zoneOf(int node) const;

    static std::string nodeName(int node);
    static std::string targetName(int target);

    /** Replaces the JSON merge patch for the settings of nodes that start from now on. */
    void setNodeSettings(nlohmann::json patch);

    Result<pid_t> startNode(int node);
    Result<pid_t> startTarget(int target);

    ProcessGroup &processes()
    {
        return *m_processes;
    }

    /** Source IP address of the node's connections and datagrams. */
    std::string nodeAddress(int node) const;

    Endpoint traffic(int node) const;
    Endpoint admin(int node) const;

    /** Address under which a target is announced. */
    Endpoint advertisedTarget(int target) const;

    /** Settings of a node; tests also derive invalid settings from them. */
    nlohmann::json nodeSettings(int node) const;

    /** Sends a request to a node's traffic port; the URL of @p request is a path. */
    Result<HttpResponse> call(int node, HttpRequest request) const;

    /** Sends a request to a node's admin port; the URL of @p request is a path. */
    Result<HttpResponse> callAdmin(int node, HttpRequest request) const;

    /** Requests a plan for the intent. */
    PlanResult plan(int node, const nlohmann::json &intent) const;

    /** Confirms a plan. */
    PlanResult confirm(int node, const std::string &planId) const;

    /** Requests a plan for the intent and confirms it; returns the new configuration version. */
    Result<std::uint64_t> apply(int node, const nlohmann::json &intent) const;

    /** Configuration version of the node's response to GET @p path; 0 unless the status is 2xx. */
    std::uint64_t versionIfSuccessful(int node, const std::string &path) const;

    /** Configuration version of the node's response to GET @p path; empty without a response or with status 5xx. */
    std::optional<std::uint64_t> versionUnlessServerError(int node, const std::string &path) const;

    /** Waits until each of the nodes serves GET @p path with this configuration version or a newer one. */
    bool waitForVersion(std::uint64_t version,
                        const std::vector<int> &nodes,
                        std::chrono::milliseconds timeout,
                        const std::string &path) const;

    /** Sends a control request to the fault proxy or the store stand-in; returns whether it succeeded. */
    bool controlFaults(const nlohmann::json &request) const;
    bool controlStore(const nlohmann::json &request) const;

    /** Number of keys in the store in the range [@p key, @p end), both in base64. */
    std::uint64_t storedKeyCount(const std::string &key, const std::string &end) const;

    /** Traffic statistics of the fault proxy, and call statistics of the store stand-in. */
    nlohmann::json faultStatistics() const;
    nlohmann::json storeStatistics() const;

    /** Adds one rule to the fault proxy. */
    bool addRule(const nlohmann::json &rule) const;

    /** Removes all rules of the fault proxy. */
    bool clearRules() const;

    /**
     * Partitions a zone from the other zones and, with @p alsoFromStore, from the store. Bytes on TCP connections are
     * held back until the rules are cleared; datagrams are dropped.
     */
    bool partitionZone(const std::string &zone, bool alsoFromStore) const;

    /** Statistics of a target, or null when it does not respond. */
    nlohmann::json targetStats(int target) const;

    /** Number of executions of requests with this key, summed over all targets. */
    std::uint64_t executions(const std::string &key) const;

    /** Address that the target itself listens on, which bypasses the fault proxy. */
    Endpoint targetListener(int target) const;

private:
    explicit Mesh(MeshOptions options);

    Result<bool> start();
    Result<bool> startStoreAndProxy();
    nlohmann::json links() const;
    Endpoint faultControl() const;
    Endpoint store() const;
    std::vector<std::string> addressesOf(const std::vector<int> &nodes) const;

    MeshOptions m_options;
    std::unique_ptr<AddressBlock> m_block;
    std::unique_ptr<ProcessGroup> m_processes; ///< Destroyed before the address block is released.
};

/** Configuration version in the header X-Hornbeam-Version, or 0 without one. */
std::uint64_t versionOf(const HttpResponse &response);

/** Returns an intent that creates a service with one idempotent and one non-idempotent route. */
nlohmann::json basicIntent(const std::string &service);

/** Returns an intent that sets one route of the service; a new route name gives a new configuration version. */
nlohmann::json routeIntent(const std::string &service, const std::string &route);

} // namespace Hornbeam
