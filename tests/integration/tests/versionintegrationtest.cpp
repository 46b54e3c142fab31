#include "meshtest.h"
#include "versionwatcher.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

class VersionTest : public MeshTest
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

TEST_GROUP_BASE(Version, VersionTest){};

// Guards invariant 9 in a quiet mesh: each accepted version is in effect everywhere within 3 s.
TEST(Version, everyConfirmReachesEveryNode)
{
    for (int i = 0; i < 5; ++i) {
        nextVersion(i % mesh->nodeCount());
        checkReached(mesh->allNodes(), "a node did not serve the confirmed version within 3 s");
    }
}

// Guards invariant 1 against a killed node whose replacement, without state, starts below the floor.
TEST(Version, replacementOfAKilledNodeNeverServesBelowTheFloor)
{
    for (int i = 0; i < 3; ++i) {
        mesh->processes().kill(Mesh::nodeName(3));
        nextVersion(0);
        checkReached({0, 1, 2, 4, 5}, "the remaining nodes did not serve the version within 3 s");
        const VersionWatcher watcher(*mesh, 3, version);
        require(mesh->startNode(3));
        CHECK(mesh->waitForVersion(version, {3}, patience, "/rota"));
        LONGS_EQUAL(0, watcher.regression());
    }
}

// Guards invariants 1 and 9 against a node that was frozen during a change.
TEST(Version, frozenNodeCatchesUpWhenItWakes)
{
    const VersionWatcher watcher(*mesh, 4, version);
    mesh->processes().freeze(Mesh::nodeName(4));
    nextVersion(0);
    nextVersion(1);
    checkReached({0, 1, 2, 3, 5}, "the running nodes did not serve the version within 3 s");
    mesh->processes().wake(Mesh::nodeName(4));
    checkReached({4}, "the woken node did not serve the version within 3 s");
    LONGS_EQUAL(0, watcher.regression());
}

// Guards invariant 9 against nodes that watch the store being frozen past their leases.
TEST(Version, confirmReachesEveryNodeWhileStoreWatchersAreFrozenPastTheirLeases)
{
    for (const int node : {0, 1}) {
        mesh->processes().freeze(Mesh::nodeName(node));
    }
    // The watchers' leases last 5 s; confirms on both sides of their end must spread.
    const Stopwatch stopwatch;
    while (stopwatch.elapsed() < 6s) {
        nextVersion(2);
        checkReached({2, 3, 4, 5}, "the running nodes did not serve the version within 3 s");
    }
    for (const int node : {0, 1}) {
        mesh->processes().wake(Mesh::nodeName(node));
    }
    checkReached(mesh->allNodes(), "the woken nodes did not serve the version within 3 s");
}

// Guards invariants 1, 5 and 9 against a zone cut off from the other zones and from the platform.
TEST(Version, zoneCutOffServesItsVersionAndCatchesUpWhenHealed)
{
    const auto inside = mesh->nodesIn("helsinki");
    const auto outside = mesh->nodesOutside("helsinki");
    const auto before = version;
    CHECK(mesh->cutOffZone("helsinki", true));
    nextVersion(outside.front());
    checkReached(outside, "the connected zones did not serve the version within 3 s");
    for (const int node : inside) {
        CHECK(waitUntil(patience, [&] { return mesh->servedVersion(node, "/rota") == before; }));
        const auto refused = book(node, "cut-off");
        STRCMP_EQUAL("not-run", outcomeOf(refused).c_str());
    }
    LONGS_EQUAL(0, mesh->executions("cut-off"));
    const VersionWatcher watcher(*mesh, inside.front(), before);
    CHECK(mesh->clearRules());
    checkReached(inside, "the healed zone did not serve the version within 3 s");
    LONGS_EQUAL(0, watcher.regression());
}

// Guards invariant 9 against a one-way cut: a node that cannot send to the others but hears them still catches up.
TEST(Version, confirmReachesANodeBehindAOneWayCut)
{
    CHECK(mesh->addRule({{"kind", "blackHole"},
                         {"sources", {mesh->nodeAddress(5)}},
                         {"links", {"node-0", "node-1", "node-2", "node-3", "node-4"}}}));
    nextVersion(0);
    checkReached(mesh->allNodes(), "a node did not serve the version within 3 s");
}

// Guards invariant 1 against a store that answers reads with an old state.
TEST(Version, staleStoreReadsNeverMoveANodeBack)
{
    nextVersion(0);
    nextVersion(0);
    checkReached(mesh->allNodes(), "a node did not serve the version within 3 s");
    CHECK(mesh->controlStore({{"stale_reads", 20}}));
    const VersionWatcher running(*mesh, 0, version);
    mesh->processes().kill(Mesh::nodeName(3));
    const VersionWatcher replaced(*mesh, 3, version);
    require(mesh->startNode(3));
    CHECK(mesh->waitForVersion(version, {3}, patience, "/rota"));
    LONGS_EQUAL(0, replaced.regression());
    LONGS_EQUAL(0, running.regression());
}

// Guards invariants 1 and 9 against datagrams and pushes that are lost, duplicated, delayed and overtake each other.
TEST(Version, crossedUpdatesNeverMoveANodeBack)
{
    CHECK(mesh->addRule({{"kind", "loss"}, {"probability", 0.2}}));
    CHECK(mesh->addRule({{"kind", "duplicate"}, {"probability", 0.2}}));
    CHECK(mesh->addRule({{"kind", "reorder"}, {"probability", 0.3}, {"delayMs", 50}}));
    CHECK(mesh->addRule({{"kind", "delay"}, {"protocol", "tcp"}, {"jitterMs", 30}}));
    const VersionWatcher first(*mesh, 4, version);
    const VersionWatcher second(*mesh, 5, version);
    for (int i = 0; i < 5; ++i) {
        nextVersion(i % mesh->nodeCount());
    }
    checkReached(mesh->allNodes(), "a node did not serve the version within 3 s");
    LONGS_EQUAL(0, first.regression());
    LONGS_EQUAL(0, second.regression());
}
