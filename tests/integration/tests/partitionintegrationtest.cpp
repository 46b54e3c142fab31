#include "meshtest.h"
#include "versionmonitor.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

class PartitionTest : public MeshTest
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

    /** Whether the node's dump reports the zone as unreachable or reachable, as given by @p expected. */
    bool reportsZoneUnreachable(int node, const std::string &zone, bool expected) const
    {
        const auto response = mesh->callAdmin(node, {.url = "/dump"});
        if (!response) {
            return false;
        }
        const auto dump = nlohmann::json::parse(response->body, nullptr, false);
        for (const auto &known : dump.value("zones", nlohmann::json::array())) {
            if (known["zone"] == zone) {
                return known["unreachable"] == expected;
            }
        }
        return false;
    }
};

TEST_GROUP_BASE(Partition, PartitionTest){};

// Guards against a zone that misses a change after a long partition that heals while the store is down, so that only
// peers can supply the new version.
TEST(Partition, partitionedZoneCatchesUpFromPeersWhileTheStoreIsDown)
{
    const auto inside = mesh->nodesIn("helsinki");
    const auto outside = mesh->nodesOutside("helsinki");
    CHECK(mesh->partitionZone("helsinki", true));
    CHECK(waitUntil(3 * waitTimeout, [&] { return reportsZoneUnreachable(inside.front(), "tampere", true); }));
    CHECK(waitUntil(3 * waitTimeout, [&] { return reportsZoneUnreachable(inside.front(), "turku", true); }));
    CHECK(waitUntil(3 * waitTimeout, [&] { return reportsZoneUnreachable(outside.front(), "helsinki", true); }));
    createVersion(outside.front());
    CHECK(mesh->controlStore({{"down", true}}));
    CHECK(mesh->clearRules());
    checkServed(inside, "a node of the zone did not serve the version within 3 s after the partition");
}

// Guards against a replacement node in a partitioned zone that serves an older version than the zone, or executes a
// booking without the store.
TEST(Partition, replacementNodeInAPartitionedZoneServesTheZonesVersion)
{
    const auto inside = mesh->nodesIn("helsinki");
    CHECK(mesh->partitionZone("helsinki", true));
    mesh->processes().kill(Mesh::nodeName(inside.back()));
    const VersionMonitor monitor(*mesh, inside.back(), version);
    require(mesh->startNode(inside.back()));
    CHECK(mesh->waitForVersion(version, {inside.back()}, waitTimeout, "/rota"));
    STRCMP_EQUAL("not-run", outcomeOf(book(inside.back(), "replaced-in-a-cut-off-zone")).c_str());
    LONGS_EQUAL(0, mesh->executions("replaced-in-a-cut-off-zone"));
    CHECK(mesh->clearRules());
    createVersion(0);
    checkServed(mesh->allNodes(), "a node did not serve the version within 3 s");
    CHECK_TEXT(!monitor.regressed(), std::to_string(monitor.regressedVersion()).c_str());
}
