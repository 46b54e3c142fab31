#include "rolloutcluster.h"

#include <CppUTest/TestHarness.h>
using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(RolloutCoordinator)
{
    RolloutCluster cluster;

    /** Checks what must hold for a bad version, whatever happens to the decider and the store. */
    void checkExposure()
    {
        CHECK(cluster.fresh <= 0.1 * 15 * RolloutCluster::nodeCount * RolloutCluster::requestsPerStep * 50 + 50);
        CHECK(cluster.fiftiethBad == TimePoint::max() || cluster.lastFresh <= cluster.fiftiethBad + 5s);
    }

    void waitForDecider()
    {
        while (cluster.decider() == nullptr && cluster.sinceOrder() < 15s) {
            cluster.pass(RolloutCluster::step);
        }
        CHECK(cluster.decider() != nullptr);
    }
};

TEST(RolloutCoordinator, completesAGoodVersionBeforeTheDeadline)
{
    cluster.order("v2", 10);
    cluster.pass(1s);
    STRCMP_EQUAL("running v2", cluster.status().c_str());
    CHECK(cluster.nodes[7]->coordinator->rules().front().shareLimit <= 0.1);
    cluster.pass(14s);
    STRCMP_EQUAL("completed v2", cluster.status().c_str());
    cluster.fresh = 0;
    cluster.requests = 0;
    cluster.pass(1s);
    CHECK_EQUAL(cluster.requests, cluster.fresh);
}

TEST(RolloutCoordinator, rollsBackABadVersion)
{
    cluster.bad = true;
    cluster.order("v2", 10);
    cluster.pass(15s);
    STRCMP_EQUAL("rolled_back v2", cluster.status().c_str());
    checkExposure();
    CHECK(cluster.lastFresh < cluster.time.now() - 8s);
}

// Guards against a bad version that is compared with itself, or with nothing, and completed: the decider starts before
// it has heard of the targets of the version in use.
TEST(RolloutCoordinator, rollsBackABadVersionWhenAllNodesAreKilledAfterTheOrder)
{
    for (const auto &heardFirst : {std::set<std::string>{}, std::set<std::string>{"v2"}}) {
        RolloutCluster restarted;
        restarted.bad = true;
        restarted.order("v2", 10);
        restarted.killAll();
        restarted.startNodes();
        restarted.hear(heardFirst);
        restarted.pass(1500ms);
        CHECK_EQUAL(0, restarted.fresh);
        restarted.hear({"v1", "v2"});
        restarted.pass(15s);
        STRCMP_EQUAL("v1", restarted.storedStep().stableVersion.c_str());
        STRCMP_EQUAL("rolled_back v2", restarted.status().c_str());
    }
}

// Guards against the same when the version in use was not recorded before the kill.
TEST(RolloutCoordinator, waitsForTheVersionInUseWithoutARecord)
{
    cluster.bad = true;
    cluster.order("v2", 10);
    cluster.killAll();
    cluster.removeRecord();
    cluster.startNodes();
    cluster.hear({"v2"});
    cluster.pass(3s);
    STRCMP_EQUAL("", cluster.status().c_str());
    CHECK_EQUAL(0, cluster.fresh);
    cluster.hear({"v1", "v2"});
    cluster.pass(14s);
    STRCMP_EQUAL("rolled_back v2", cluster.status().c_str());
    checkExposure();
}

// Guards against a roll-out that never begins because the ordered version is the only one.
TEST(RolloutCoordinator, completesTheOnlyVersionOfAService)
{
    cluster.killAll();
    cluster.removeRecord();
    cluster.startNodes();
    cluster.order("v2", 10);
    cluster.hear({"v2"});
    cluster.pass(15s);
    STRCMP_EQUAL("completed v2", cluster.status().c_str());
}

// Guards against a step of an earlier release that does not name the stable version.
TEST(RolloutCoordinator, comparesWithTheVersionInUseAlthoughTheStoredStepNamesNone)
{
    cluster.bad = true;
    cluster.order("v2", 10);
    cluster.pass(1s);
    auto stored = cluster.storedStep();
    stored.stableVersion.clear();
    cluster.killAll();
    cluster.store(stored);
    cluster.startNodes();
    cluster.hear({"v1", "v2"});
    cluster.pass(18s);
    STRCMP_EQUAL("v1", cluster.storedStep().stableVersion.c_str());
    STRCMP_EQUAL("rolled_back v2", cluster.status().c_str());
}

// Guards against a record that is written again and again, or by each node.
TEST(RolloutCoordinator, recordsTheVersionInUseOnce)
{
    STRCMP_EQUAL("v1", cluster.storedStep().servingVersion().c_str());
    const auto revision = cluster.shared.revision();
    cluster.pass(20s);
    CHECK_EQUAL(revision, cluster.shared.revision());
    for (const auto &node : cluster.nodes) {
        CHECK(node->store.calls().writes <= 2);
        CHECK_EQUAL(2U, node->coordinator->steps().size());
    }
}

// Guards against requests to targets of a version before its order is known.
TEST(RolloutCoordinator, usesTheOldestVersionWithoutAnOrder)
{
    for (const auto &node : cluster.nodes) {
        node->rulesChanged();
    }
    cluster.pass(1s);
    CHECK_EQUAL(0, cluster.fresh);
    CHECK(cluster.requests > 0);
}

// Guards against a roll-out that ends, or goes on unwatched, when its decider is killed.
TEST(RolloutCoordinator, anotherNodeCompletesAfterTheDeciderIsKilled)
{
    cluster.order("v2", 10);
    cluster.pass(4s);
    cluster.decider()->kill();
    cluster.pass(11s);
    STRCMP_EQUAL("completed v2", cluster.status().c_str());
}

TEST(RolloutCoordinator, keepsTheExposureWhenTheDeciderOfABadVersionIsKilled)
{
    cluster.order("v2", 10);
    cluster.pass(4s);
    cluster.decider()->kill();
    cluster.bad = true;
    cluster.pass(14s);
    STRCMP_EQUAL("rolled_back v2", cluster.status().c_str());
    checkExposure();
}

// Guards against nodes that go on with a share that nobody watches any more.
TEST(RolloutCoordinator, sendsNothingToTheNewVersionWhenNoStepArrives)
{
    cluster.order("v2", 10);
    cluster.pass(4s);
    CHECK(cluster.fresh > 0);
    cluster.decider()->kill();
    cluster.setFaults({.unavailable = true}); // No other node can take over.
    cluster.pass(1700ms);
    cluster.fresh = 0;
    cluster.pass(5s);
    CHECK_EQUAL(0, cluster.fresh);
}

// Guards against a write of a killed decider that takes effect late and replaces the step of its successor.
TEST(RolloutCoordinator, aLateWriteDoesNotReplaceTheStepOfTheNextDecider)
{
    cluster.order("v2", 10);
    cluster.pass(2900ms);
    cluster.decider()->store.setFaults({.applyDelay = 7s});
    cluster.pass(500ms);
    cluster.decider()->kill();
    std::uint64_t fence = 0;
    for (int i = 0; i < 110; ++i) {
        cluster.pass(100ms);
        CHECK(cluster.storedStep().fence >= fence);
        fence = cluster.storedStep().fence;
    }
    CHECK(fence >= 2);
}

// Guards against a delayed message of a decider that has been replaced.
TEST(RolloutCoordinator, ignoresStepsOfAReplacedDecider)
{
    cluster.order("v2", 10);
    cluster.pass(4s);
    auto late = cluster.nodes[7]->coordinator->steps().front();
    late.number += 100;
    late.phase = RolloutPhase::Switch;
    late.sharePerMille = 1000;
    cluster.decider()->kill();
    cluster.pass(6s);
    CHECK(cluster.decider() != nullptr);
    cluster.nodes[7]->coordinator->receive("node-0", "S" + late.encode());
    CHECK(cluster.nodes[7]->coordinator->steps().front().phase == RolloutPhase::Canary);
}

// Guards against a decider that was paused between the decision and the write, and then changes what its successor did.
TEST(RolloutCoordinator, aPausedDeciderChangesNothingAfterItWasReplaced)
{
    cluster.order("v2", 10);
    waitForDecider();
    auto *first = cluster.decider();
    first->pause();
    cluster.pass(5s);
    cluster.bad = true;
    cluster.pass(6s);
    CHECK(cluster.decider() != nullptr);
    first->resume();
    cluster.pass(8s);
    STRCMP_EQUAL("rolled_back v2", cluster.status().c_str());
    checkExposure();
    CHECK_EQUAL(0, first->gate.next("menu") == VersionTrack::Fresh);
}

// Guards against a decider that hears no reports and raises the share of a version that fails elsewhere.
TEST(RolloutCoordinator, keepsTheExposureWhenTheDeciderIsCutOff)
{
    cluster.order("v2", 10);
    cluster.pass(4s);
    cluster.decider()->cut = true;
    cluster.bad = true;
    cluster.pass(14s);
    checkExposure();
    CHECK(cluster.status() != "completed v2");
}

// Guards against a roll-out that waits until its deadline for a decider that only the store can reach.
TEST(RolloutCoordinator, aDeciderThatIsCutOffLeavesTheDecisionToOthers)
{
    cluster.order("v2", 10);
    cluster.pass(2s);
    cluster.decider()->cut = true;
    cluster.pass(13s);
    STRCMP_EQUAL("completed v2", cluster.status().c_str());
}

// Guards against a repeated or lost step when the response of the store does not arrive.
TEST(RolloutCoordinator, completesAlthoughResponsesOfTheStoreAreLost)
{
    cluster.order("v2", 10);
    waitForDecider();
    for (int i = 0; i < 7; ++i) {
        cluster.decider()->store.setFaults({.loseAnswers = 1});
        cluster.pass(2s);
    }
    cluster.pass(2s);
    STRCMP_EQUAL("completed v2", cluster.status().c_str());
}

TEST(RolloutCoordinator, completesWithASlowStore)
{
    cluster.setFaults({.answerDelay = 200ms});
    cluster.order("v2", 10);
    cluster.pass(15s);
    STRCMP_EQUAL("completed v2", cluster.status().c_str());
}

// Guards against a withdrawal that waits for the store.
TEST(RolloutCoordinator, keepsTheExposureWithASlowOrLossyStore)
{
    cluster.setFaults({.loseAnswersPrefix = "hornbeamring/rollouts/", .answerDelay = 800ms});
    cluster.order("v2", 10);
    cluster.pass(5s);
    cluster.bad = true;
    cluster.pass(15s);
    checkExposure();
    CHECK(cluster.status() != "completed v2");
}

// Guards against a version that stays in use because its roll-back cannot be written.
TEST(RolloutCoordinator, withdrawsABadVersionWhileTheStoreIsDown)
{
    cluster.order("v2", 10);
    cluster.pass(4s);
    cluster.setFaults({.unavailable = true});
    cluster.bad = true;
    cluster.pass(1500ms);
    CHECK(cluster.nodes[7]->coordinator->steps().front().phase == RolloutPhase::Withdrawing);
    cluster.pass(10500ms);
    checkExposure();
    cluster.setFaults({});
    cluster.pass(5s);
    STRCMP_EQUAL("rolled_back v2", cluster.status().c_str());
    checkExposure();
}

// Guards against a version without an order that replaces the one in use for good, because the hosts of all targets of
// the latter restart at the same time.
TEST(RolloutCoordinator, keepsTheVersionInUseWhileTheHostsOfItsTargetsRestart)
{
    cluster.pass(1s);
    cluster.hear({"v2"});
    cluster.pass(2s);
    cluster.hear({"v1", "v2"});
    cluster.requests = 0;
    cluster.pass(2s);
    CHECK(cluster.requests > 0);
    CHECK_EQUAL(0, cluster.fresh);
}

// Guards against the same when all nodes restart, and hear of the other version first.
TEST(RolloutCoordinator, keepsTheVersionInUseWhenAllNodesRestart)
{
    cluster.killAll();
    cluster.startNodes();
    cluster.pass(1s);
    cluster.hear({"v2"});
    cluster.pass(7s);
    CHECK_EQUAL(0, cluster.requests);
    cluster.hear({"v1", "v2"});
    cluster.pass(2s);
    CHECK(cluster.requests > 0);
    CHECK_EQUAL(0, cluster.fresh);
}

// Guards against an outage when operators replace the targets of a service without an order.
TEST(RolloutCoordinator, usesAnotherVersionWhenTheTargetsOfTheOneInUseHaveStopped)
{
    cluster.hear({"v2", "v3"});
    cluster.pass(VersionInUse::absenceLimit + 100ms);
    cluster.requests = 0;
    cluster.fresh = 0;
    cluster.pass(1s);
    CHECK(cluster.requests > 0);
    CHECK_EQUAL(cluster.requests, cluster.fresh);
}

// Guards against the use of a version whose order was replaced, and against one that becomes stable by its replacement.
TEST(RolloutCoordinator, anOrderReplacesAnOrder)
{
    cluster.order("v2", 10);
    cluster.pass(6s);
    cluster.order("v3", 20);
    cluster.pass(1s);
    STRCMP_EQUAL("running v3", cluster.status().c_str());
    for (const auto &node : cluster.nodes) {
        CHECK(node->gate.trackOf("menu", "v2") == VersionTrack::Held);
        CHECK(node->gate.trackOf("menu", "v1") == VersionTrack::Stable);
    }
    cluster.pass(14s);
    STRCMP_EQUAL("completed v3", cluster.status().c_str());
}

// Guards against a good version that is completed after its deadline, because restarted nodes count the time of the
// order from their start.
TEST(RolloutCoordinator, completesInTimeWhenAllNodesAreKilled)
{
    for (const auto &[killed, down] :
         {std::pair<Duration, Duration>(0s, 1s), {0s, 2500ms}, {500ms, 1s}, {6s, 1s}, {6s, 2500ms}, {9s, 1s}}) {
        RolloutCluster restarted;
        restarted.order("v2", 10);
        restarted.pass(killed);
        restarted.killAll();
        restarted.pass(down);
        restarted.startNodes();
        restarted.pass(1s);
        restarted.hear({"v1", "v2"});
        while (restarted.status() != "completed v2" && restarted.sinceOrder() < 20s) {
            restarted.pass(RolloutCluster::step);
        }
        CHECK(restarted.sinceOrder() <= 15s);
        CHECK(restarted.sinceOrder() >= 13s);
    }
}

// Guards against nodes that do not understand a step which an earlier release has written.
TEST(RolloutCoordinator, continuesARolloutOfAnEarlierRelease)
{
    cluster.order("v2", 10);
    cluster.killAll();
    cluster.store(RolloutStep::decode(R"({"service": "menu", "order": 10, "fence": 4, "step": 2, "phase": "canary",
        "share": 20, "stable": "v1", "version": "v2", "elapsedMs": 500, "reason": "planned share"})")
                      .value());
    cluster.startNodes();
    cluster.hear({"v1", "v2"});
    cluster.pass(4s);
    CHECK_EQUAL(5U, cluster.storedStep().fence);
    cluster.pass(14s);
    STRCMP_EQUAL("completed v2", cluster.status().c_str());
}

// Guards against a version that is completed without enough results because those before the kill are lost.
TEST(RolloutCoordinator, keepsTheExposureWhenAllNodesAreKilledLateInTheRollout)
{
    for (const auto killed : {1s, 6s, 10s, 13s}) {
        RolloutCluster restarted;
        restarted.order("v2", 10);
        restarted.pass(killed);
        restarted.killAll();
        restarted.bad = true;
        restarted.fresh = 0;
        restarted.pass(2500ms);
        restarted.startNodes();
        restarted.hear({"v1", "v2"});
        restarted.pass(20s);
        STRCMP_EQUAL("rolled_back v2", restarted.status().c_str());
        CHECK(restarted.fresh <= 0.1 * 15 * RolloutCluster::nodeCount * RolloutCluster::requestsPerStep * 50 + 50);
        CHECK(restarted.fiftiethBad == TimePoint::max() || restarted.lastFresh <= restarted.fiftiethBad + 5s);
    }
}

// Guards against requests of a restarted node to a newer version without an order: the node knows the order of the
// version in use, but not yet that it is completed.
TEST(RolloutCoordinator, aRestartedNodeServesWithTheCompletedVersionOnly)
{
    cluster.hear({"v1", "v2"});
    cluster.order("v2", 10);
    cluster.pass(15s);
    STRCMP_EQUAL("completed v2", cluster.status().c_str());
    cluster.hear({"v2"});
    cluster.pass(15s);
    cluster.hear({"v2", "v3"});
    for (const auto delay : {0ms, 700ms}) {
        cluster.setFaults({.answerDelay = delay});
        cluster.restart(7);
        cluster.served.clear();
        cluster.pass(3s);
        CHECK(cluster.served["v2"] > 0);
        CHECK_EQUAL(0, cluster.served["v3"]);
    }
}

// Guards against a node that never serves because the store does not answer.
TEST(RolloutCoordinator, isReadyWithoutTheStore)
{
    cluster.setFaults({.unavailable = true});
    cluster.restart(7);
    cluster.pass(900ms);
    CHECK_FALSE(cluster.nodes[7]->ready);
    cluster.pass(200ms);
    CHECK(cluster.nodes[7]->ready);
    CHECK_EQUAL(0U, cluster.nodes[7]->coordinator->steps().size());
    cluster.setFaults({});
    cluster.pass(3s);
    CHECK_EQUAL(2U, cluster.nodes[7]->coordinator->steps().size());
}

// Guards against a second roll-out that starts from the version before the first one.
TEST(RolloutCoordinator, aCompletedVersionIsTheStableOneOfTheNextOrder)
{
    cluster.order("v2", 10);
    cluster.pass(20s);
    cluster.order("v3", 20);
    cluster.pass(1s);
    for (const auto &node : cluster.nodes) {
        CHECK(node->gate.trackOf("menu", "v2") == VersionTrack::Stable);
        CHECK(node->gate.trackOf("menu", "v1") == VersionTrack::Held);
    }
}

// Guards against a roll-out of one service that stops or changes the one of another.
TEST(RolloutCoordinator, runsTwoServicesSideBySide)
{
    cluster.order("v2", 10);
    for (const auto &node : cluster.nodes) {
        node->order({.service = "orders", .version = "v2", .duration = 15s, .revision = 11});
    }
    cluster.bad = true;
    cluster.pass(10s);
    STRCMP_EQUAL("rolled_back v2", cluster.status().c_str());
    const auto steps = cluster.nodes[5]->coordinator->steps();
    CHECK_EQUAL(2U, steps.size());
    CHECK_FALSE(steps[1].isFinal());
}

// Guards against calls to the store, and a lease, that go on after the roll-out.
TEST(RolloutCoordinator, isQuietAfterTheRollout)
{
    cluster.order("v2", 10);
    cluster.pass(30s);
    CHECK(cluster.decider() == nullptr);
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (const auto &node : cluster.nodes) {
        before += node->store.calls().reads + node->store.calls().writes;
    }
    cluster.pass(10s);
    for (const auto &node : cluster.nodes) {
        after += node->store.calls().reads + node->store.calls().writes;
    }
    CHECK_EQUAL(before, after);
}
