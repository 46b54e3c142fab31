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
    /** False announces the targets' own addresses: a stopped target then refuses connections, which a link accepts. */
    bool targetsThroughProxy = true;
    std::vector<std::string> targetArguments = {}; ///< Further arguments of each target stand-in.
    std::vector<std::string> storeArguments = {}; ///< Further arguments of the store stand-in.
    nlohmann::json settings = nlohmann::json::object(); ///< Merged into the settings of each node.
    std::uint64_t seed = 1; ///< Seed of the fault proxy.
};

/** Answers to the operator's questions to a node. */
struct PlanResult
{
    int status = 0;
    nlohmann::json body;
};

/**
 * A whole mesh of processes on loopback addresses of their own: the store stand-in, the fault proxy, the nodes and a
 * target per node. Nodes are numbered from 0 and spread over the zones in turn. Nodes reach each other, the store and
 * the targets through links of the fault proxy named "node-N", "store" and "target-N". Waits poll with a deadline.
 */
class Mesh
{
public:
    /** Starts all processes and waits until each node is ready. Unavailable with the output of what failed. */
    static Result<std::unique_ptr<Mesh>> make(MeshOptions options);

    int nodeCount() const;

    /** The numbers of the nodes in a zone, or of all nodes outside it. */
    std::vector<int> nodesIn(const std::string &zone) const;
    std::vector<int> nodesOutside(const std::string &zone) const;
    std::vector<int> allNodes() const;

    const std::string &zoneOf(int node) const;

    static std::string nodeName(int node);
    static std::string targetName(int target);

    Result<pid_t> startNode(int node);
    Result<pid_t> startTarget(int target);

    ProcessGroup &processes()
    {
        return *m_processes;
    }

    /** IP address that the node's connections and datagrams come from. */
    std::string nodeAddress(int node) const;

    Endpoint traffic(int node) const;
    Endpoint admin(int node) const;

    /** Address under which a target is announced. */
    Endpoint advertisedTarget(int target) const;

    /** Settings of a node, also used to build malformed ones. */
    nlohmann::json nodeSettings(int node) const;

    /** Sends a request to a node's traffic port; the URL of @p request is a path. */
    Result<HttpResponse> call(int node, HttpRequest request) const;

    /** Sends a request to a node's admin port; the URL of @p request is a path. */
    Result<HttpResponse> ask(int node, HttpRequest request) const;

    /** Asks for a plan. */
    PlanResult plan(int node, const nlohmann::json &intent) const;

    /** Confirms a plan; the status is 0 when no response arrived. */
    PlanResult confirm(int node, const std::string &planId) const;

    /** Plans and confirms; returns the new version. */
    Result<std::uint64_t> apply(int node, const nlohmann::json &intent) const;

    /** Version under which a node serves a call to @p path, or 0 when it does not serve it. */
    std::uint64_t servedVersion(int node, const std::string &path) const;

    /** Version under which a node served a call or refused it with a status below 500; nothing otherwise. */
    std::optional<std::uint64_t> decidedVersion(int node, const std::string &path) const;

    /** Waits until each of the nodes serves calls to @p path under at least that version. */
    bool waitForVersion(std::uint64_t version,
                        const std::vector<int> &nodes,
                        std::chrono::milliseconds timeout,
                        const std::string &path) const;

    /** Control requests to the fault proxy and the store stand-in; false when they were refused. */
    bool controlFaults(const nlohmann::json &request) const;
    bool controlStore(const nlohmann::json &request) const;

    /** Number of keys in the store from @p key up to, but without, @p end; both in base64. */
    std::uint64_t storedKeys(const std::string &key, const std::string &end) const;

    /** What passed through the fault proxy and what the store stand-in counted. */
    nlohmann::json faultStatistics() const;
    nlohmann::json storeStatistics() const;

    /** Adds one rule to the fault proxy. */
    bool addRule(const nlohmann::json &rule) const;

    /** Removes all rules of the fault proxy. */
    bool clearRules() const;

    /** Cuts a zone off from the other zones and, if asked for, from the store. Bytes are held, datagrams dropped. */
    bool cutOffZone(const std::string &zone, bool fromStoreAsWell) const;

    /** Statistics of a target, or null when it does not answer. */
    nlohmann::json targetStats(int target) const;

    /** How often all targets together executed the requests with this key. */
    std::uint64_t executions(const std::string &key) const;

    /** Address of a target's own listener, behind the fault proxy. */
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

/** Version under which a node answered, or 0 when the response does not tell. */
std::uint64_t versionOf(const HttpResponse &response);

/** An intent that creates a service with one idempotent and one non-idempotent route. */
nlohmann::json basicIntent(const std::string &service);

/** An intent that creates or changes one route of the service, so that a new version results. */
nlohmann::json routeIntent(const std::string &service, const std::string &route);

} // namespace Hornbeam
