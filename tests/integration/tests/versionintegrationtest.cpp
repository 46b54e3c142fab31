#include "meshtest.h"
#include "versionmonitor.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

class VersionTest : public MeshTest
{
protected:
    void setup() override
    {
        startMesh({.zones = {"tampere", "turku", "helsinki"}, .nodesPerZone = 2});
    }

    /** Checks that the nodes serve the newest version within the bound. */
    void checkServed(const std::vector<int> &nodes, const char *failureText)
    {
        if (!mesh->waitForVersion(version, nodes, convergenceBound, "/rota")) {
            mesh->processes().keepLogs();
            FAIL((failureText + describeNodes(nodes)).c_str());
        }
    }

    /** What the nodes respond, and where their logs are. */
    std::string describeNodes(const std::vector<int> &nodes) const
    {
        auto text = "; expected version " + std::to_string(version);
        for (const int node : nodes) {
            const auto response = mesh->call(node, {.url = "/rota"});
            const auto served = response ? response->header("x-hornbeam-version") : std::string();
            text += "; node " + std::to_string(node) + ": " + describe(response) + ", version " + served;
        }
        return text + "; logs in " + mesh->processes().directory().string();
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

TEST_GROUP_BASE(Version, VersionTest){};

// Guards against a confirmed change that some node does not serve within 3 s although nothing has failed.
TEST(Version, everyConfirmedChangeReachesEveryNode)
{
    for (int i = 0; i < 5; ++i) {
        createVersion(i % mesh->nodeCount());
        checkServed(mesh->allNodes(), "a node did not serve the confirmed version within 3 s");
    }
}

// Guards against a replacement for a killed node that starts without state and serves an older version than the mesh
// has confirmed.
TEST(Version, replacementNodeNeverServesAnOlderVersion)
{
    for (int i = 0; i < 3; ++i) {
        mesh->processes().kill(Mesh::nodeName(3));
        createVersion(0);
        checkServed({0, 1, 2, 4, 5}, "the remaining nodes did not serve the version within 3 s");
        // The delay prolongs the phase in which the node knows the minimum version but has not loaded its content.
        CHECK(mesh->addRule({{"id", "slow-store"},
                             {"kind", "delay"},
                             {"links", {"store"}},
                             {"sources", {mesh->nodeAddress(3)}},
                             {"delayMs", 100}}));
        const VersionMonitor monitor(*mesh, 3, version);
        require(mesh->startNode(3));
        CHECK(mesh->waitForVersion(version, {3}, waitTimeout, "/rota"));
        CHECK(mesh->clearRules());
        CHECK_TEXT(!monitor.regressed(), std::to_string(monitor.regressedVersion()).c_str());
    }
}

// Guards against a node that misses changes, or serves an older version, because it was paused while they spread.
TEST(Version, pausedNodeCatchesUpWhenResumed)
{
    const VersionMonitor monitor(*mesh, 4, version);
    mesh->processes().pause(Mesh::nodeName(4));
    createVersion(0);
    createVersion(1);
    checkServed({0, 1, 2, 3, 5}, "the running nodes did not serve the version within 3 s");
    mesh->processes().resume(Mesh::nodeName(4));
    checkServed({4}, "the resumed node did not serve the version within 3 s");
    CHECK_TEXT(!monitor.regressed(), std::to_string(monitor.regressedVersion()).c_str());
}

// Guards against changes that do not spread because nodes that watch the store are paused until their leases expire.
TEST(Version, changeReachesEveryNodeWhileStoreWatchersArePausedPastTheirLeases)
{
    for (const int node : {0, 1}) {
        mesh->processes().pause(Mesh::nodeName(node));
    }
    // The leases of store watchers expire after 5 s; changes before and after the expiry must spread.
    const Stopwatch stopwatch;
    while (stopwatch.elapsed() < 6s) {
        createVersion(2);
        checkServed({2, 3, 4, 5}, "the running nodes did not serve the version within 3 s");
    }
    for (const int node : {0, 1}) {
        mesh->processes().resume(Mesh::nodeName(node));
    }
    checkServed(mesh->allNodes(), "the resumed nodes did not serve the version within 3 s");
}

// Guards against a zone that stops serving, executes bookings without the store or serves an older version while it is
// partitioned from the other zones and the store, and against one that misses the change afterwards.
TEST(Version, partitionedZoneKeepsServingAndCatchesUpWhenThePartitionHeals)
{
    const auto inside = mesh->nodesIn("helsinki");
    const auto outside = mesh->nodesOutside("helsinki");
    const auto before = version;
    CHECK(mesh->partitionZone("helsinki", true));
    createVersion(outside.front());
    checkServed(outside, "the connected zones did not serve the version within 3 s");
    for (const int node : inside) {
        CHECK(waitUntil(waitTimeout, [&] { return mesh->versionIfSuccessful(node, "/rota") == before; }));
        const auto refused = book(node, "cut-off");
        STRCMP_EQUAL("not-run", outcomeOf(refused).c_str());
    }
    LONGS_EQUAL(0, mesh->executions("cut-off"));
    const VersionMonitor monitor(*mesh, inside.front(), before);
    CHECK(mesh->clearRules());
    checkServed(inside, "a node of the zone did not serve the version within 3 s after the partition");
    CHECK_TEXT(!monitor.regressed(), std::to_string(monitor.regressedVersion()).c_str());
}

// Guards against a dump that does not report a partition after which both sides regard each other as failed, and
// against a zone that misses the change when such a partition heals.
TEST(Version, longPartitionIsReportedAndTheZoneCatchesUpWhenItHeals)
{
    const auto inside = mesh->nodesIn("helsinki");
    const auto outside = mesh->nodesOutside("helsinki");
    CHECK(mesh->partitionZone("helsinki", true));
    CHECK(waitUntil(3 * waitTimeout, [&] { return reportsZoneUnreachable(inside.front(), "tampere", true); }));
    CHECK(waitUntil(3 * waitTimeout, [&] { return reportsZoneUnreachable(inside.front(), "turku", true); }));
    CHECK(waitUntil(3 * waitTimeout, [&] { return reportsZoneUnreachable(outside.front(), "helsinki", true); }));
    createVersion(outside.front());
    CHECK(mesh->clearRules());
    checkServed(inside, "a node of the zone did not serve the version within 3 s after the partition");
    CHECK(waitUntil(3 * waitTimeout, [&] { return reportsZoneUnreachable(inside.front(), "tampere", false); }));
}

// Guards against a node that misses a change because it can receive from the other nodes but not send to them.
TEST(Version, changeReachesANodeBehindAOneWayPartition)
{
    CHECK(mesh->addRule({{"kind", "blackHole"},
                         {"sources", {mesh->nodeAddress(5)}},
                         {"links", {"node-0", "node-1", "node-2", "node-3", "node-4"}}}));
    createVersion(0);
    checkServed(mesh->allNodes(), "a node did not serve the version within 3 s");
}

// Guards against a node that goes back to an older version when the store returns stale reads.
TEST(Version, staleStoreReadsNeverRollANodeBack)
{
    createVersion(0);
    createVersion(0);
    checkServed(mesh->allNodes(), "a node did not serve the version within 3 s");
    CHECK(mesh->controlStore({{"stale_reads", 20}}));
    const VersionMonitor running(*mesh, 0, version);
    // The nodes that watch the store reconnect and read the stale state.
    const auto reads = mesh->storeStatistics()["reads"].get<std::uint64_t>();
    CHECK(mesh->addRule({{"kind", "cut"}, {"links", {"store"}}}));
    CHECK(mesh->clearRules());
    CHECK(waitUntil(waitTimeout, [&] { return mesh->storeStatistics()["reads"].get<std::uint64_t>() > reads + 6; }));
    mesh->processes().kill(Mesh::nodeName(3));
    const VersionMonitor replaced(*mesh, 3, version);
    require(mesh->startNode(3));
    CHECK(mesh->waitForVersion(version, {3}, waitTimeout, "/rota"));
    CHECK_TEXT(!replaced.regressed(), std::to_string(replaced.regressedVersion()).c_str());
    CHECK_TEXT(!running.regressed(), std::to_string(running.regressedVersion()).c_str());
}

// Guards against a node that misses a change or goes back to an older version when updates between nodes are lost,
// duplicated, delayed or reordered.
TEST(Version, lostAndReorderedUpdatesNeverRollANodeBack)
{
    CHECK(mesh->addRule({{"kind", "loss"}, {"probability", 0.2}}));
    CHECK(mesh->addRule({{"kind", "duplicate"}, {"probability", 0.2}}));
    CHECK(mesh->addRule({{"kind", "reorder"}, {"probability", 0.3}, {"delayMs", 50}}));
    CHECK(mesh->addRule({{"kind", "delay"}, {"protocol", "tcp"}, {"jitterMs", 30}}));
    const VersionMonitor first(*mesh, 4, version);
    const VersionMonitor second(*mesh, 5, version);
    for (int i = 0; i < 5; ++i) {
        createVersion(i % mesh->nodeCount());
    }
    checkServed(mesh->allNodes(), "a node did not serve the version within 3 s");
    CHECK_TEXT(!first.regressed(), std::to_string(first.regressedVersion()).c_str());
    CHECK_TEXT(!second.regressed(), std::to_string(second.regressedVersion()).c_str());
}

// Guards against a change that takes longer than 3 s from the response to the confirm because store calls are slow.
TEST(Version, changeReachesEveryNodeWithASlowStore)
{
    CHECK(mesh->controlStore({{"latency_ms", 150}, {"answer_delay_ms", 150}}));
    createVersion(0);
    checkServed(mesh->allNodes(), "a node did not serve the version within 3 s");
}

// Guards against a node that goes back to the version in the copy, or misses the next change, when the store has been
// restored from a copy.
TEST(Version, changeReachesEveryNodeAfterTheStoreWasRestored)
{
    CHECK(mesh->controlStore({{"copy", true}}));
    createVersion(0);
    createVersion(1);
    checkServed(mesh->allNodes(), "a node did not serve the version within 3 s");
    const VersionMonitor monitor(*mesh, 4, version);
    CHECK(mesh->controlStore({{"restore", true}}));
    createVersion(2);
    checkServed(mesh->allNodes(), "a node did not serve the version within 3 s after the restoration");
    CHECK_TEXT(!monitor.regressed(), std::to_string(monitor.regressedVersion()).c_str());
}
