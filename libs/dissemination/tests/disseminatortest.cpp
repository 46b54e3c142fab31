#include <hornbeam/dissemination/fanouttree.h>

#include "simulatedpeernetwork.h"
#include "testsnapshots.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(Disseminator)
{
    static constexpr std::uint16_t size = 60;
    SimulatedPeerNetwork network;

    SimulatedPeer &node(std::size_t i)
    {
        return *network.nodes.at(i);
    }

    void confirm(std::size_t i, ConfigVersion version)
    {
        node(i).disseminator->offer(makeSnapshot(version), OfferSource::Confirmed);
    }

    std::uint64_t fetches()
    {
        std::uint64_t n = 0;
        for (const auto &member : network.nodes) {
            n += member->metrics.counter("hornbeam_dissemination_fetches_total", "").value();
        }
        return n;
    }

    /** Simulates a paused process: all messages from and to the node are lost. Its timers still run. */
    void pause(std::size_t i)
    {
        network.unresponsive.insert(node(i).address.port());
    }

    void resume(std::size_t i)
    {
        network.unresponsive.erase(node(i).address.port());
    }
};

TEST(Disseminator, reachesAllNodesByPushes)
{
    network.makeCluster(size, 3);
    confirm(7, 1);
    network.time.advance(50ms);
    CHECK_EQUAL(size, network.countWith(1));
    for (const auto &member : network.nodes) {
        CHECK(member->pushesReceived <= 2);
    }
    CHECK_EQUAL(0, fetches());
}

// Guards against a subtree that misses a push because its interior node is lost. The sender must try another member of
// the branch.
TEST(Disseminator, replacesALostInteriorNode)
{
    network.makeCluster(size, 1);
    const auto branches = FanoutTree::split(*node(7).table.liveMembers(), "zone-0", {}, memberHash(node(7).id), 8);
    const auto lost = branches.front().candidates.front().member->peerAddress;
    network.unresponsive.insert(lost.port());
    confirm(7, 1);
    network.time.advance(900ms);
    CHECK_EQUAL(size - 1, network.countWith(1));
    CHECK_EQUAL(0, fetches());
}

// Guards against a node that returns to an older version because the push of it arrives after that of a newer one.
TEST(Disseminator, keepsTheNewestOfReorderedPushes)
{
    network.makeCluster(size, 3);
    confirm(7, 1);
    network.time.advance(3s);
    for (ConfigVersion version = 2; version <= 6; ++version) {
        node(7).disseminator->offer(makeSnapshot(version), OfferSource::Confirmed);
        node(8).disseminator->offer(makeSnapshot(version), OfferSource::Watched);
        network.time.advance(1ms);
    }
    std::vector<ConfigVersion> highest(size, 0);
    for (std::size_t i = 0; i < size; ++i) {
        node(i).config.subscribe([&highest, i](const SnapshotPtr &snapshot) {
            CHECK(snapshot->version() > highest[i]);
            highest[i] = snapshot->version();
        });
    }
    network.time.advance(3s);
    CHECK_EQUAL(size, network.countWith(6));
}

// Guards against duplicate pushes: several nodes that watch the store learn of a version at the same time, and each of
// them pushes it to all nodes.
TEST(Disseminator, pushesAVersionOnceWhenSeveralNodesWatch)
{
    network.makeCluster(size, 3);
    for (std::size_t i = 0; i < 9; ++i) {
        node(i).disseminator->offer(makeSnapshot(1), OfferSource::Watched);
    }
    network.time.advance(1s);
    CHECK_EQUAL(size, network.countWith(1));
    std::size_t pushes = 0;
    for (const auto &member : network.nodes) {
        pushes += member->pushesReceived;
    }
    CHECK(pushes < std::size_t(2) * size);
}

// Guards against a version that only the confirming node knows for a while: the watch event arrives before the confirm
// returns, so the confirmed version is not new, and only the delayed push of a watcher is left.
TEST(Disseminator, pushesImmediatelyWhenTheWatchEventPrecedesTheConfirm)
{
    network.makeCluster(size, 1);
    node(7).disseminator->offer(makeSnapshot(1), OfferSource::Watched);
    confirm(7, 1);
    network.time.advance(15ms);
    CHECK_EQUAL(size, network.countWith(1));
}

// Guards against a node that keeps an old version because it was paused and missed all pushes.
TEST(Disseminator, catchesUpAfterAPause)
{
    network.makeCluster(size, 3);
    confirm(7, 1);
    network.time.advance(1s);
    pause(30);
    for (ConfigVersion version = 2; version <= 5; ++version) {
        confirm(7, version);
        network.time.advance(2s);
    }
    CHECK_EQUAL(1, node(30).version());
    resume(30);
    network.time.advance(5s);
    CHECK_EQUAL(5, node(30).version());
    CHECK_EQUAL(1, node(30).metrics.counter("hornbeam_dissemination_fetches_total", "").value());
}

// Guards against full snapshots as answers to a fetch for which the retained deltas are sufficient, and against an
// incomplete chain of deltas when the first ones are no longer retained.
TEST(Disseminator, servesDeltasForKnownBasesOnly)
{
    network.makeCluster(2, 1);
    for (ConfigVersion version = 1; version <= 70; ++version) {
        confirm(0, version);
        network.time.advance(200ms);
    }
    const auto recent = node(0).disseminator->handleFetch({.haveVersion = 68});
    CHECK_EQUAL(2, recent.deltas.size());
    const auto old = node(0).disseminator->handleFetch({.haveVersion = 3});
    CHECK(old.deltas.empty());
    CHECK(!old.snapshot.empty());
    CHECK(node(0).disseminator->handleFetch({.haveVersion = 70}).snapshot.empty());
}

// Guards against a node that applies an older version, or other content of its version, from a stale or faulty peer.
TEST(Disseminator, rejectsOlderAndConflictingVersions)
{
    network.makeCluster(2, 1);
    confirm(0, 3);
    network.time.advance(100ms);
    const auto before = node(1).config.current();
    PushRequest push{.version = 3, .contentDigest = makeSnapshot(3, "b")->contentDigest(), .zone = "zone-0"};
    push.delta = Delta::between(*makeSnapshot(2), *makeSnapshot(3, "b")).encode();
    CHECK(node(1).disseminator->handlePush(push).outcome == PushOutcome::Refused);
    push.version = 2;
    CHECK(node(1).disseminator->handlePush(push).outcome == PushOutcome::AlreadyCurrent);
    CHECK(node(1).disseminator->offer(makeSnapshot(2), OfferSource::Watched) == ApplyResult::Older);
    CHECK(node(1).config.current() == before);
}

// Guards against a node that keeps an old version because the delta in a push was damaged. It must not apply a part of
// the delta, but fetch the version from the sender.
TEST(Disseminator, fetchesAfterADamagedPush)
{
    network.makeCluster(2, 1);
    confirm(0, 1);
    network.time.advance(100ms);
    network.drop = [](const Endpoint &, const Endpoint &) {
        return true;
    };
    confirm(0, 2);
    network.time.advance(900ms);
    network.drop = {};
    PushRequest push{.version = 2, .contentDigest = node(0).config.current()->contentDigest(), .zone = "zone-0"};
    push.delta = "damaged";
    push.sender = node(0).address;
    CHECK(node(1).disseminator->handlePush(push).outcome == PushOutcome::Refused);
    CHECK_EQUAL(1, node(1).version());
    network.time.advance(90ms);
    CHECK_EQUAL(2, node(1).version());
}

// Guards against a subtree that misses a push because its interior node has an older version than the base of the
// delta. The node must fetch the version and then forward the push.
TEST(Disseminator, forwardsAPushAfterFetchingItsVersion)
{
    network.makeCluster(size, 1);
    confirm(7, 1);
    network.time.advance(1s);
    const auto branches = FanoutTree::split(*node(7).table.liveMembers(), "zone-0", {}, memberHash(node(7).id), 8);
    const auto interior = branches.front().candidates.front().member->peerAddress;
    network.unresponsive.insert(interior.port());
    confirm(7, 2);
    network.time.advance(950ms);
    network.unresponsive.clear();
    const auto before = fetches();
    confirm(7, 3);
    network.time.advance(100ms);
    CHECK_EQUAL(size, network.countWith(3));
    CHECK(fetches() <= before + 1);
}

// Guards against a zone that keeps an old version after a partition has healed, because it missed all pushes.
TEST(Disseminator, catchesUpAfterAPartition)
{
    network.makeCluster(size, 2);
    network.drop = [](const Endpoint &from, const Endpoint &to) {
        return from.port() % 2 != to.port() % 2;
    };
    confirm(0, 1);
    network.time.advance(10s);
    CHECK_EQUAL(size / 2, network.countWith(1));
    network.drop = {};
    network.time.advance(3s);
    CHECK_EQUAL(size, network.countWith(1));
}

// Guards against a change that takes longer than 3 s to reach a node because the peer that it fetches from was paused
// after its heartbeat. The fetch must time out early enough for a fetch from another peer.
TEST(Disseminator, fetchesFromAnotherPeerWhenOneIsPaused)
{
    network.makeCluster(3, 1);
    network.unresponsive.insert(node(2).address.port());
    confirm(0, 1);
    network.time.advance(1s);
    CHECK_EQUAL(2, network.countWith(1));
    network.unresponsive.clear();
    node(2).disseminator->heartbeatReceived({.id = node(0).id, .peerAddress = node(0).address, .configVersion = 1});
    pause(0);
    network.time.advance(3s);
    CHECK_EQUAL(1, node(2).version());
}

// Guards against a large delta that each node receives several times in pushes. A push must only announce the version,
// and the receiver fetches it once.
TEST(Disseminator, omitsLargeDeltasFromPushes)
{
    network.makeCluster(2, 1);
    SnapshotContent content;
    std::mt19937_64 random(1);
    for (int i = 0; i < 20000; ++i) {
        content.services.push_back({.name = "service-" + std::to_string(random()) + std::to_string(random())});
    }
    node(0).disseminator->offer(Snapshot::make(1, content).value(), OfferSource::Confirmed);
    network.time.advance(100ms);
    CHECK_EQUAL(2, network.countWith(1));
    CHECK_EQUAL(1, fetches());
}

// Guards against a replacement node that serves callers without a configuration or with one that is older than the
// newest in the store.
TEST(Disseminator, isNotReadyBelowTheNewestVersionInTheStore)
{
    network.makeCluster(size, 3);
    confirm(7, 1);
    network.time.advance(1s);
    auto &replacement = network.add("replacement", "zone-0", 1900);
    ConfigVersion versionWhenReady = 0;
    replacement.disseminator->subscribeReady([&] { versionWhenReady = replacement.version(); });
    network.drop = [](const Endpoint &from, const Endpoint &to) {
        return from.port() == 1900 || to.port() == 1900;
    };
    replacement.disseminator->setStoreHeadVersion(2);
    replacement.disseminator->membershipJoined();
    network.time.advance(10s);
    CHECK_FALSE(replacement.disseminator->ready());
    network.drop = {};
    network.time.advance(3s);
    CHECK_EQUAL(1, replacement.version());
    CHECK_FALSE(replacement.disseminator->ready());
    confirm(7, 2);
    network.time.advance(1s);
    CHECK(replacement.disseminator->ready());
    CHECK_EQUAL(2, versionWhenReady);
}

// Guards against a node that does not become ready while the store is unreachable, although its peers have the newest
// version.
TEST(Disseminator, becomesReadyWithTheVersionOfPeersWithoutTheStore)
{
    network.makeCluster(size, 3);
    confirm(7, 4);
    network.time.advance(1s);
    auto &replacement = network.add("replacement", "zone-0", 1900);
    replacement.disseminator->membershipJoined();
    network.time.advance(1s);
    CHECK_FALSE(replacement.disseminator->ready());
    network.time.advance(4s);
    CHECK(replacement.disseminator->ready());
    CHECK_EQUAL(4, replacement.version());
}

// Guards against nodes that serve without a configuration because all of them have restarted while the store was
// unreachable.
TEST(Disseminator, isNotReadyWhileNoPeerReportsAVersion)
{
    network.makeCluster(3, 1);
    for (const auto &member : network.nodes) {
        member->disseminator->membershipJoined();
    }
    network.time.advance(20s);
    for (const auto &member : network.nodes) {
        CHECK_FALSE(member->disseminator->ready());
    }
    node(0).disseminator->setStoreHeadVersion(1);
    confirm(0, 1);
    network.time.advance(6s);
    for (const auto &member : network.nodes) {
        CHECK(member->disseminator->ready());
    }
}
