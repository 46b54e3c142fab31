#include "simulatednetwork.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

Target makeTarget(std::uint16_t port, TargetState state)
{
    return {.address = Endpoint("127.0.0.1", port), .service = "rota", .zone = "south", .state = state, .instance = 1};
}

Rumor makeRumor(std::chrono::milliseconds timeToLive)
{
    return {.request = Digest::of("request"), .target = Endpoint("127.0.0.1", 9000), .timeToLive = timeToLive};
}

} // namespace

TEST_GROUP(FailureDetector)
{
    static constexpr std::size_t size = 30;
    SimulatedNetwork network;

    SimulatedNode &node(std::size_t i)
    {
        return *network.nodes.at(i);
    }

    void isolate(const SimulatedNode &isolated)
    {
        const auto address = isolated.address;
        network.drop = [address](const Endpoint &from, const Endpoint &to) {
            return from == address || to == address;
        };
    }

    static void partitionZones(SimulatedNetwork & partitioned)
    {
        partitioned.drop = [](const Endpoint &from, const Endpoint &to) {
            return from.port() % 2 != to.port() % 2;
        };
    }
};

TEST(FailureDetector, joinsAllMembers)
{
    network.makeCluster(size);
    CHECK_EQUAL(size * size, network.aliveViews());
    CHECK(node(7).detector->joined());
}

// Guards against a slow start in a partitioned zone: a node that tries the unreachable seeds of other zones one after
// the other, although the seed of its own zone answers. Here, one of seven seeds is reachable. A join has 3 s, like a
// change.
TEST(FailureDetector, joinsThroughTheOnlyReachableSeed)
{
    constexpr std::uint64_t runs = 20;
    for (std::uint64_t run = 0; run < runs; ++run) {
        SimulatedNetwork partitioned;
        partitioned.randomSeedBase = run * size;
        partitioned.makeCluster(3);
        for (std::uint16_t port = 2001; port <= 2006; ++port) {
            partitioned.seeds.emplace_back("127.0.0.1", port);
        }
        partitioned.seeds.erase(partitioned.seeds.begin());
        auto &joining = partitioned.add("late", "south", 1900);
        joining.detector->start();
        if (run % 2 != 0) {
            // The reachable seed contacts the node first, so that the node lists it as a live member, which
            // contactSeeds() skips, before the join has reached it.
            partitioned.nodes.at(1)->detector->setSeeds({joining.address});
        }
        partitioned.time.advance(3s);
        CHECK_TEXT(joining.detector->joined(), std::to_string(run).c_str());
    }
}

// Guards against a node that reports that it has joined although no seed has answered: its table is then empty.
TEST(FailureDetector, staysUnjoinedUntilASeedAnswers)
{
    network.makeCluster(3);
    network.drop = [](const Endpoint &, const Endpoint &) {
        return true;
    };
    auto &joining = network.add("late", "south", 1900);
    int joins = 0;
    joining.detector->subscribeJoined([&joins] { ++joins; });
    joining.detector->start();
    network.time.advance(10s);
    CHECK_FALSE(joining.detector->joined());
    network.drop = {};
    network.time.advance(10s);
    CHECK(joining.detector->joined());
    CHECK_EQUAL(1, joins);
}

TEST(FailureDetector, declaresAnIsolatedMemberFailed)
{
    network.makeCluster(size);
    isolate(node(4));
    network.time.advance(15s);
    for (std::size_t i = 0; i < size; ++i) {
        if (i != 4) {
            CHECK(node(i).stateOf(node(4)) == MemberState::Failed);
        }
    }
}

// Guards against a failure that is declared although only the direct path between two members is lost. The indirect
// probes through other members must succeed before the prober suspects the member.
TEST(FailureDetector, keepsAMemberThatOnlyIndirectProbesReach)
{
    network.makeCluster(size);
    const auto a = node(0).address;
    const auto b = node(9).address;
    network.drop = [a, b](const Endpoint &from, const Endpoint &to) {
        return (from == a && to == b) || (from == b && to == a);
    };
    network.time.advance(60s);
    CHECK(node(0).stateOf(node(9)) == MemberState::Alive);
    CHECK_EQUAL(1, node(9).table.find(memberHash(node(9).id))->incarnation);
}

// Guards against the removal of a member that stops answering for less than the suspicion timeout. It must refute the
// suspicion with a higher incarnation.
TEST(FailureDetector, refutesASuspicion)
{
    network.makeCluster(size);
    node(4).timers.pause();
    network.time.advance(3s);
    node(4).timers.resume();
    network.time.advance(12s);
    CHECK_EQUAL(size * size, network.aliveViews());
    CHECK(node(4).table.find(memberHash(node(4).id))->incarnation > 1);
}

// Guards against a process that suspects healthy members after a pause, in which its own probes timed out because it
// did not process the acks.
TEST(FailureDetector, suspectsNoMemberAfterItsOwnPause)
{
    network.makeCluster(size);
    for (const auto delay : {200ms, 450ms, 700ms, 950ms}) {
        network.time.advance(delay);
        node(4).timers.pause();
        network.time.advance(8s);
        node(4).timers.resume();
        network.time.advance(20s);
    }
    CHECK_EQUAL(size * size, network.aliveViews());
    for (std::size_t i = 0; i < size; ++i) {
        if (i != 4) {
            CHECK_EQUAL(1, node(i).table.find(memberHash(node(i).id))->incarnation);
        }
    }
}

// Guards against a process that was paused while a suspect refuted, and on resuming declares it failed because the
// suspicion timer runs before the refutation is received.
TEST(FailureDetector, extendsSuspicionsByItsOwnPause)
{
    network.makeCluster(size);
    node(5).timers.pause();
    while (node(4).stateOf(node(5)) != MemberState::Suspect) {
        network.time.advance(10ms);
    }
    node(4).timers.pause();
    node(5).timers.resume();
    network.time.advance(4500ms);
    node(4).timers.resume();
    CHECK_EQUAL(0, node(4).metrics.counter("hornbeam_membership_failures_total", "").value());
    network.time.advance(12s);
    CHECK_EQUAL(size * size, network.aliveViews());
}

// Guards against zones that stay separated after a partition has healed, because each has declared the other's members
// failed and no longer probes them.
TEST(FailureDetector, mergesAHealedPartition)
{
    network.makeCluster(size);
    partitionZones(network);
    network.time.advance(90s);
    CHECK_EQUAL(size * size / 2, network.aliveViews());
    network.drop = {};
    network.time.advance(15s);
    CHECK_EQUAL(size * size, network.aliveViews());
}

// Guards against a zone that does not apply a newer configuration version within 3 s after a partition has healed. It
// learns of the version from a datagram of the other side, which must arrive within 2 s to leave 1 s for the fetch.
TEST(FailureDetector, receivesHeartbeatsSoonAfterAPartitionHeals)
{
    constexpr std::uint64_t runs = 20;
    for (std::uint64_t run = 0; run < runs; ++run) {
        SimulatedNetwork healing;
        healing.randomSeedBase = run * size;
        healing.makeCluster(6);
        partitionZones(healing);
        healing.time.advance(90s);
        std::set<std::string> heard;
        for (auto &viewer : healing.nodes) {
            viewer->detector->subscribeHeartbeats([&heard, viewerPort = viewer->address.port()](const Heartbeat &it) {
                if (it.peerAddress.port() % 2 != viewerPort % 2) {
                    heard.insert(it.peerAddress.port() % 2 == 0 ? "north" : "south");
                }
            });
        }
        healing.drop = {};
        healing.time.advance(2s);
        LONGS_EQUAL_TEXT(2, heard.size(), std::to_string(run).c_str());
    }
}

// Guards against requests to a node that is shutting down: all members must know within 3 s that it leaves.
TEST(FailureDetector, announcesAPlannedStop)
{
    network.makeCluster(size);
    node(4).detector->leave();
    network.time.advance(3s);
    for (std::size_t i = 0; i < size; ++i) {
        CHECK(node(i).stateOf(node(4)) == MemberState::Left || i == 4);
    }
}

// Guards against requests to a leaving target: all members must know its state well within 3 s.
TEST(FailureDetector, spreadsTheTargetsOfAMember)
{
    network.makeCluster(size);
    node(4).detector->setTargets({makeTarget(9000, TargetState::Leaving)});
    network.time.advance(1500ms);
    for (const auto &viewer : network.nodes) {
        const auto member = viewer->table.find(memberHash(node(4).id));
        CHECK_EQUAL(1, member->targets.size());
        CHECK(member->targets.front().state == TargetState::Leaving);
    }
}

// Guards against members that learn of a leaving target late: with only one round of gossip, 5% of the members do not
// receive the update, and 2% still have not half a second later.
TEST(FailureDetector, reachesNearlyAllMembersWithinHalfASecond)
{
    constexpr std::size_t members = 60;
    constexpr std::uint16_t changes = 40;
    network.makeCluster(members);
    std::size_t missed = 0;
    for (std::uint16_t i = 1; i <= changes; ++i) {
        auto &changed = node(i);
        changed.detector->setTargets({makeTarget(i, TargetState::Leaving)});
        network.time.advance(500ms);
        for (const auto &viewer : network.nodes) {
            missed += viewer->table.find(memberHash(changed.id))->targets.empty() ? 1 : 0;
        }
    }
    CHECK(missed < members * changes / 200);
}

// Guards against an update that never arrives: the only datagram with the update is lost, and the member cannot reach
// the one that has changed. It must receive the update from a third member by anti-entropy.
TEST(FailureDetector, repairsLostUpdatesByAntiEntropy)
{
    network.retransmissions = 0;
    network.makeCluster(3);
    const auto first = node(0).address;
    const auto last = node(2).address;
    network.drop = [first](const Endpoint &, const Endpoint &to) {
        return to == first;
    };
    node(2).detector->setTargets({makeTarget(9000, TargetState::Serving)});
    network.time.advance(50ms);
    network.drop = [first, last](const Endpoint &from, const Endpoint &to) {
        return (from == first && to == last) || (from == last && to == first);
    };
    CHECK_EQUAL(0, node(0).table.find(memberHash(node(2).id))->targets.size());
    network.time.advance(30s);
    CHECK_EQUAL(1, node(0).table.find(memberHash(node(2).id))->targets.size());
}

// Guards against requests to the targets of a process that was replaced at the same address. The join of its successor
// proves that it has ended, and all members must know within 3 s; probes and the suspicion timeout take longer.
TEST(FailureDetector, declaresThePredecessorAtTheSameAddressFailed)
{
    network.makeCluster(size);
    auto predecessor = std::move(network.nodes.at(4));
    predecessor->timers.pause();
    network.nodes.erase(network.nodes.begin() + 4);
    network.add("replacement", "south", predecessor->address.port()).detector->start();
    network.time.advance(3s);
    for (std::size_t i = 0; i + 1 < size; ++i) {
        CHECK(node(i).stateOf(*predecessor) == MemberState::Failed);
        CHECK(node(i).stateOf(*network.nodes.back()) == MemberState::Alive);
    }
}

TEST(FailureDetector, reportsTheVersionOfAPeerThatIsAhead)
{
    network.makeCluster(3);
    std::uint64_t seen = 0;
    node(0).detector->subscribeHeartbeats([&seen](const Heartbeat &beat) {
        if (beat.id == "node-2" && beat.configDigestPrefix == 5) {
            seen = beat.configVersion;
        }
    });
    node(1).detector->setConfig(42, 5);
    network.time.advance(3s);
    CHECK_EQUAL(42, seen);
    CHECK_EQUAL(42, node(0).table.find(memberHash(node(1).id))->configVersion);
}

// Guards against a crash report that is delivered several times to one member and counts as several crashes.
TEST(FailureDetector, deliversARumorOnceToEachMember)
{
    network.makeCluster(size);
    std::vector<int> deliveries(size, 0);
    for (std::size_t i = 0; i < size; ++i) {
        node(i).detector->subscribeRumors([&deliveries, i](const Rumor &) { ++deliveries[i]; });
    }
    node(4).detector->spread(makeRumor(5s));
    network.time.advance(30s);
    for (const auto n : deliveries) {
        CHECK_EQUAL(1, n);
    }
    CHECK(node(0).detector->rumors().empty());
}

// Guards against a second crash of a target that is taken for a copy of the report of the first one, and against a
// refutation that is lost.
TEST(FailureDetector, deliversEachCrashAndItsRefutation)
{
    network.makeCluster(3);
    std::vector<Rumor> delivered;
    node(2).detector->subscribeRumors([&](const Rumor &rumor) { delivered.push_back(rumor); });
    for (std::uint64_t event : {1, 2}) {
        auto rumor = makeRumor(5s);
        rumor.event = event;
        node(0).detector->spread(rumor);
        rumor.refuted = true;
        node(1).detector->spread(rumor);
        network.time.advance(1s);
    }
    CHECK_EQUAL(4, delivered.size());
    CHECK_EQUAL(2, std::count_if(delivered.begin(), delivered.end(), [](const Rumor &it) { return it.refuted; }));
    CHECK_EQUAL(2, std::count_if(delivered.begin(), delivered.end(), [](const Rumor &it) { return it.event == 2; }));
}

// Guards against a node that forwards a request which has crashed targets, because the node joined after the crash
// report had spread.
TEST(FailureDetector, sendsRumorsToAJoiningMember)
{
    network.makeCluster(3);
    node(0).detector->spread(makeRumor(60s));
    network.time.advance(20s);
    auto &joining = network.add("late", "south", 1900);
    joining.detector->start();
    network.time.advance(3s);
    CHECK_EQUAL(1, joining.detector->rumors().size());
}

// Guards against datagrams that are fragmented, and against more than 1 KB/s of traffic per idle node.
// Guards against a payload for another member, or one that makes a datagram too large to be decoded.
TEST(FailureDetector, deliversPayloadsWithTheirKindAndSender)
{
    network.makeCluster(3);
    std::vector<std::string> received;
    node(1).detector->subscribePayloads([&received](const Payload &payload) {
        received.push_back(std::to_string(static_cast<int>(payload.kind)) + payload.sender
                           + payload.content.substr(0, 4));
    });
    const auto sender = node(0).id;
    node(0).detector->sendPayload(node(1).id, PayloadKind::Rollouts, "step");
    node(0).detector->sendPayload(node(2).id, PayloadKind::Rollouts, "other member");
    node(0).detector->sendPayload("unknown", PayloadKind::Rollouts, "nobody");
    node(0).detector->sendPayload(node(1).id, PayloadKind::RateLimits, std::string(maxPayloadBytes, 'x'));
    node(0).detector->sendPayload(node(1).id, PayloadKind::RateLimits, std::string(maxPayloadBytes + 1, 'y'));
    network.time.advance(100ms);
    CHECK((received == std::vector<std::string>{"2" + sender + "step", "1" + sender + "xxxx"}));
}

TEST(FailureDetector, keepsDatagramsAndIdleTrafficSmall)
{
    network.makeCluster(size);
    network.time.advance(30s);
    const auto before = node(4).transport.bytesSent + node(4).transport.bytesReceived;
    constexpr std::size_t seconds = 60;
    network.time.advance(std::chrono::seconds(seconds));
    const auto bytes = node(4).transport.bytesSent + node(4).transport.bytesReceived - before;
    CHECK(bytes / seconds < 1000);
    for (const auto &member : network.nodes) {
        CHECK(member->transport.largestDatagram <= 1200);
    }
}

TEST(FailureDetector, deliversPayloads)
{
    network.makeCluster(3);
    std::vector<Payload> received;
    node(1).detector->subscribePayloads([&received](const Payload &it) { received.push_back(it); });
    node(0).detector->sendPayload(node(1).id, PayloadKind::RateLimits, "content");
    node(0).detector->sendPayload(node(1).id, PayloadKind::RateLimits, std::string(maxPayloadBytes, 'x'));
    node(0).detector->sendPayload(node(1).id, PayloadKind::RateLimits, std::string(maxPayloadBytes + 1, 'x'));
    node(0).detector->sendPayload("unknown", PayloadKind::RateLimits, "content");
    network.time.advance(100ms);
    CHECK_EQUAL(2U, received.size());
    STRCMP_EQUAL(node(0).id.c_str(), received.front().sender.c_str());
    STRCMP_EQUAL("content", received.front().content.c_str());
    CHECK(received.front().kind == PayloadKind::RateLimits);
    CHECK(node(0).transport.largestDatagram <= 1200);
}

TEST(FailureDetector, rejectsInvalidOptions)
{
    SimulatedTransport transport(network, Endpoint("127.0.0.1", 1));
    MembershipTable table;
    MetricsRegistry metrics;
    FailureDetectorOptions options{.id = "n", .zone = "z", .advertisedAddress = Endpoint("127.0.0.1", 1)};
    options.probeTimeout = options.probePeriod;
    const auto made = FailureDetector::make(
        options, {.transport = transport, .timers = network.time, .table = table, .metrics = metrics});
    CHECK(made.error().code() == ErrorCode::InvalidArgument);
}
