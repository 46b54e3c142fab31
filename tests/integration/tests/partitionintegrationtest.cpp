#include "meshtest.h"
#include "versionwatcher.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

class PartitionTest : public MeshTest
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

    /** Whether the dump of a node shows the zone as unreachable, or not, as given. */
    bool sees(int node, const std::string &zone, bool unreachable) const
    {
        const auto response = mesh->ask(node, {.url = "/dump"});
        if (!response) {
            return false;
        }
        const auto dump = nlohmann::json::parse(response->body, nullptr, false);
        for (const auto &known : dump.value("zones", nlohmann::json::array())) {
            if (known["zone"] == zone) {
                return known["unreachable"] == unreachable;
            }
        }
        return false;
    }
};

TEST_GROUP_BASE(Partition, PartitionTest){};

// Guards invariant 9 against a long cut that ends while the store is down, so that only peers can supply the version.
TEST(Partition, zoneCutOffForLongCatchesUpFromPeersWhileTheStoreIsDown)
{
    const auto inside = mesh->nodesIn("helsinki");
    const auto outside = mesh->nodesOutside("helsinki");
    CHECK(mesh->cutOffZone("helsinki", true));
    CHECK(waitUntil(3 * patience, [&] { return sees(inside.front(), "tampere", true); }));
    CHECK(waitUntil(3 * patience, [&] { return sees(inside.front(), "turku", true); }));
    CHECK(waitUntil(3 * patience, [&] { return sees(outside.front(), "helsinki", true); }));
    nextVersion(outside.front());
    CHECK(mesh->controlStore({{"down", true}}));
    CHECK(mesh->clearRules());
    checkReached(inside, "the healed zone did not serve the version within 3 s");
}

// Guards invariants 1 and 6 against two faults at once: a node is killed and replaced in a zone that is cut off.
TEST(Partition, replacementInACutOffZoneServesTheZonesVersion)
{
    const auto inside = mesh->nodesIn("helsinki");
    CHECK(mesh->cutOffZone("helsinki", true));
    mesh->processes().kill(Mesh::nodeName(inside.back()));
    const VersionWatcher watcher(*mesh, inside.back(), version);
    require(mesh->startNode(inside.back()));
    CHECK(mesh->waitForVersion(version, {inside.back()}, patience, "/rota"));
    STRCMP_EQUAL("not-run", outcomeOf(book(inside.back(), "replaced-in-a-cut-off-zone")).c_str());
    LONGS_EQUAL(0, mesh->executions("replaced-in-a-cut-off-zone"));
    CHECK(mesh->clearRules());
    nextVersion(0);
    checkReached(mesh->allNodes(), "a node did not serve the version within 3 s");
    CHECK_TEXT(!watcher.regressed(), std::to_string(watcher.regression()).c_str());
}
