#include "meshtest.h"
#include "versionwatcher.h"

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

    /** Waits for the newest version and checks the bound. */
    void checkReached(const std::vector<int> &nodes, const char *what)
    {
        CHECK_TEXT(mesh->waitForVersion(version, nodes, effectBound, "/rota"), what);
    }
};

TEST_GROUP_BASE(PeerTransport, PeerTransportTest){};

// Guards invariant 1 against a killed node that is replaced with the store down: the replacement learns the floor from
// the other nodes.
TEST(PeerTransport, replacementOfAKilledNodeWithTheStoreDownLearnsTheFloorFromPeers)
{
    nextVersion(0);
    checkReached(mesh->allNodes(), "a node did not serve the version within 3 s");
    mesh->processes().kill(Mesh::nodeName(3));
    CHECK(mesh->controlStore({{"down", true}}));
    const VersionWatcher watcher(*mesh, 3, version);
    require(mesh->startNode(3));
    CHECK(mesh->waitForVersion(version, {3}, patience, "/rota"));
    LONGS_EQUAL(0, watcher.regression());
}

// Guards invariant 9 against a zone that is cut off from the store only: the other zones' nodes supply it.
TEST(PeerTransport, zoneCutOffFromTheStoreStillReceivesVersions)
{
    auto sources = nlohmann::json::array();
    for (const int node : mesh->nodesIn("turku")) {
        sources.push_back(mesh->nodeAddress(node));
    }
    CHECK(mesh->addRule({{"kind", "blackHole"}, {"sources", sources}, {"links", {"store"}}}));
    nextVersion(0);
    checkReached(mesh->allNodes(), "a node did not serve the version within 3 s");
}

// Guards invariant 9 against connections between nodes and to the store that have gone silent.
TEST(PeerTransport, confirmReachesEveryNodeOverSilentPeerAndStoreConnections)
{
    CHECK(mesh->addRule(
        {{"kind", "silent"}, {"links", {"store", "node-0", "node-1", "node-2", "node-3", "node-4", "node-5"}}}));
    Result<std::uint64_t> confirmed = makeError(ErrorCode::Unavailable, "not tried");
    int attempt = 0;
    CHECK(waitUntil(patience, [&] {
        confirmed = mesh->apply(0, routeIntent("vuorolista", "silent-" + std::to_string(attempt++)));
        return confirmed.has_value();
    }));
    CHECK(mesh->waitForVersion(*confirmed, mesh->allNodes(), effectBound, "/rota"));
}
