#include "meshtest.h"
#include "versionmonitor.h"

using namespace Hornbeam;
using namespace std::chrono_literals;
using Json = nlohmann::json;

class PeerTransportTest : public MeshTest
{
protected:
    void setup() override
    {
        startMesh({.zones = {"tampere", "turku", "helsinki"}, .nodesPerZone = 2});
    }

    /** Checks that the nodes serve the newest version within the bound. */
    void checkServed(const std::vector<int> &nodes, const char *failureText)
    {
        CHECK_TEXT(mesh->waitForVersion(version, nodes, convergenceBound, "/rota"), failureText);
    }
};

TEST_GROUP_BASE(PeerTransport, PeerTransportTest){};

// Guards against a replacement node that serves an older version, or none, while the store is down; it must fetch the
// current version from its peers.
TEST(PeerTransport, replacementNodeGetsTheCurrentVersionFromPeersWhileTheStoreIsDown)
{
    createVersion(0);
    checkServed(mesh->allNodes(), "a node did not serve the version within 3 s");
    mesh->processes().kill(Mesh::nodeName(3));
    CHECK(mesh->controlStore({{"down", true}}));
    const VersionMonitor monitor(*mesh, 3, version);
    require(mesh->startNode(3));
    CHECK(mesh->waitForVersion(version, {3}, waitTimeout, "/rota"));
    CHECK_TEXT(!monitor.regressed(), std::to_string(monitor.regressedVersion()).c_str());
}

// Guards against a zone that misses changes because it cannot reach the store; the nodes of other zones must supply
// them.
TEST(PeerTransport, zoneWithoutStoreAccessReceivesChangesFromPeers)
{
    auto sources = nlohmann::json::array();
    for (const int node : mesh->nodesIn("turku")) {
        sources.push_back(mesh->nodeAddress(node));
    }
    CHECK(mesh->addRule({{"kind", "blackHole"}, {"sources", sources}, {"links", {"store"}}}));
    createVersion(0);
    checkServed(mesh->allNodes(), "a node did not serve the version within 3 s");
}

// Guards against changes that do not spread when the connections between nodes and to the store are still open but
// deliver no more bytes.
TEST(PeerTransport, changeReachesEveryNodeWhenPeerAndStoreConnectionsAreStalled)
{
    CHECK(mesh->addRule(
        {{"kind", "silent"}, {"links", {"store", "node-0", "node-1", "node-2", "node-3", "node-4", "node-5"}}}));
    Result<std::uint64_t> confirmed = makeError(ErrorCode::Unavailable, "not attempted");
    int attempt = 0;
    CHECK(waitUntil(waitTimeout, [&] {
        confirmed = mesh->apply(0, routeIntent("vuorolista", "silent-" + std::to_string(attempt++)));
        return confirmed.has_value();
    }));
    CHECK(mesh->waitForVersion(*confirmed, mesh->allNodes(), convergenceBound, "/rota"));
}
