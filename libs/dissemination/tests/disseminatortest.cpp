#include <hornbeam/dissemination/fanouttree.h>

#include "memorypeers.h"
#include "testsnapshots.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(Disseminator)
{
    static constexpr std::uint16_t size = 60;
    MemoryPeers network;

    MemoryPeer &node(std::size_t i)
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

    /** A frozen process neither sends nor receives; its timers find no peer. */
    void freeze(std::size_t i)
    {
        network.silent.insert(node(i).address.port());
    }

    void wake(std::size_t i)
    {
        network.silent.erase(node(i).address.port());
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

// Guards against a gap below a lost interior node: another member of its branch takes its place.
TEST(Disseminator, replacesALostInteriorNode)
{
    network.makeCluster(size, 1);
    const auto branches = FanoutTree::split(*node(7).table.liveMembers(), "zone-0", {}, memberHash(node(7).id), 8);
    const auto lost = branches.front().candidates.front().member->peerAddress;
    network.silent.insert(lost.port());
    confirm(7, 1);
    network.time.advance(900ms);
    CHECK_EQUAL(size - 1, network.countWith(1));
    CHECK_EQUAL(0, fetches());
}

// Guards against a version that overtakes its predecessor and is then undone by it.
TEST(Disseminator, keepsTheNewestOfCrossedUpdates)
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

// Guards against every watcher of the store pushing the same version to all nodes.
TEST(Disseminator, pushesAVersionOnceThoughSeveralNodesWatch)
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

// Guards against a version that only the confirming node knows when its watch event comes first.
TEST(Disseminator, pushesAtOnceAfterAConfirmThatTheWatchOvertook)
{
    network.makeCluster(size, 1);
    node(7).disseminator->offer(makeSnapshot(1), OfferSource::Watched);
    confirm(7, 1);
    network.time.advance(15ms);
    CHECK_EQUAL(size, network.countWith(1));
}

// Guards against a node that missed all pushes and stays behind.
TEST(Disseminator, catchesUpAfterAFreeze)
{
    network.makeCluster(size, 3);
    confirm(7, 1);
    network.time.advance(1s);
    freeze(30);
    for (ConfigVersion version = 2; version <= 5; ++version) {
        confirm(7, version);
        network.time.advance(2s);
    }
    CHECK_EQUAL(1, node(30).version());
    wake(30);
    network.time.advance(5s);
    CHECK_EQUAL(5, node(30).version());
    CHECK_EQUAL(1, node(30).metrics.counter("hornbeam_dissemination_fetches_total", "").value());
}

// Guards against whole snapshots where deltas are enough, and against deltas that are not kept long enough.
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

// Guards against a stale or faulty peer that makes a node move backwards or change the content of a version.
TEST(Disseminator, refusesOlderAndConflictingVersions)
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

// Guards against a delta that is applied in part, and against a node that stays behind because one push was damaged.
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

// Guards against a node that passes nothing on because the delta did not fit its own older version.
TEST(Disseminator, passesAPushOnAfterFetchingItsBase)
{
    network.makeCluster(size, 1);
    confirm(7, 1);
    network.time.advance(1s);
    const auto branches = FanoutTree::split(*node(7).table.liveMembers(), "zone-0", {}, memberHash(node(7).id), 8);
    const auto interior = branches.front().candidates.front().member->peerAddress;
    network.silent.insert(interior.port());
    confirm(7, 2);
    network.time.advance(950ms);
    network.silent.clear();
    const auto before = fetches();
    confirm(7, 3);
    network.time.advance(100ms);
    CHECK_EQUAL(size, network.countWith(3));
    CHECK(fetches() <= before + 1);
}

// Guards against a zone that stays on its old version after a partition has healed.
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

// Guards invariant 9 against a peer that freezes after its heartbeat: the fetch from it must not use up the 3 s.
TEST(Disseminator, fetchesElsewhereWhenThePeerFreezes)
{
    network.makeCluster(3, 1);
    network.silent.insert(node(2).address.port());
    confirm(0, 1);
    network.time.advance(1s);
    CHECK_EQUAL(2, network.countWith(1));
    network.silent.clear();
    node(2).disseminator->heartbeatReceived({.id = node(0).id, .peerAddress = node(0).address, .configVersion = 1});
    freeze(0);
    network.time.advance(3s);
    CHECK_EQUAL(1, node(2).version());
}

// Guards against a large delta that every node of the tree receives from several peers.
TEST(Disseminator, announcesLargeDeltas)
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

// Guards against a replaced node that serves callers with nothing or with an old version.
TEST(Disseminator, isNotReadyBelowTheFloor)
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
    replacement.disseminator->setStoreFloor(2);
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

// Guards against a node that never becomes ready while the store is unreachable though its peers have the version.
TEST(Disseminator, takesTheFloorFromPeersWithoutTheStore)
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

// Guards against nodes that serve without configuration because all of them restarted during an outage of the store.
TEST(Disseminator, isNotReadyWhileNobodyKnowsAVersion)
{
    network.makeCluster(3, 1);
    for (const auto &member : network.nodes) {
        member->disseminator->membershipJoined();
    }
    network.time.advance(20s);
    for (const auto &member : network.nodes) {
        CHECK_FALSE(member->disseminator->ready());
    }
    node(0).disseminator->setStoreFloor(1);
    confirm(0, 1);
    network.time.advance(6s);
    for (const auto &member : network.nodes) {
        CHECK(member->disseminator->ready());
    }
}
