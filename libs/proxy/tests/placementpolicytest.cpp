#include "placementpolicy.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 7;

TargetLoadPtr makeRemote(std::uint16_t port, const std::string &zone)
{
    auto load = std::make_shared<TargetLoad>();
    load->target.address = Endpoint("10.0.0.1", port);
    load->target.gateway = Endpoint("10.0.0.1", static_cast<std::uint16_t>(port + 1000));
    load->target.zone = zone;
    load->slots = 10;
    load->serviceTime = 100ms;
    return load;
}

} // namespace

TEST_GROUP(PlacementPolicy)
{
    const TimePoint now{1h};
    PlacementPolicy policy{{.zone = "turku", .seed = seed}};

    TargetLoadPtr makeBusy(std::uint16_t port, const std::string &zone, std::uint32_t running)
    {
        auto load = makeRemote(port, zone);
        load->report.running = running;
        load->report.slots = 10;
        load->reportedAt = now;
        load->lastUsed = now;
        return load;
    }

    int portOf(const std::vector<TargetLoadPtr> &loads, const PlacementQuery &query = {.maxWait = 1s})
    {
        const auto placement = policy.choose(loads, query, 0, now);
        return placement.target ? placement.target->target.address.port() : 0;
    }
};

// Requests must not cross zones while a target of the local zone has free slots.
TEST(PlacementPolicy, prefersTheLocalZone)
{
    CHECK_EQUAL(1, portOf({makeBusy(1, "turku", 5), makeBusy(2, "helsinki", 5)}));
}

// Guards against sending to a host that is slow at the moment, and against avoiding it long after the report.
TEST(PlacementPolicy, avoidsAHostThatIsSlowAtTheMoment)
{
    const auto slow = makeBusy(1, "turku", 2);
    const auto busier = makeBusy(2, "turku", 5);
    slow->slowdown = 2.5;
    slow->slowdownAt = now;
    CHECK_EQUAL(2, portOf({slow, busier}));
    slow->slowdownAt = now - 5s;
    slow->report.running = 0;
    busier->report.running = 9;
    CHECK_EQUAL(1, portOf({slow, busier}));
}

// Requests must not queue in the local zone while another zone has free slots.
TEST(PlacementPolicy, leavesTheLocalZoneWhenItIsFull)
{
    CHECK_EQUAL(2, portOf({makeBusy(1, "turku", 14), makeBusy(2, "helsinki", 3)}));
}

// A large response from another host passes two slow links. If only the hop cost counted, such a target would be chosen
// although a target on this host has a free slot.
TEST(PlacementPolicy, countsTheTransferOfALargeResponse)
{
    auto local = makeBusy(1, "turku", 0);
    local->local = true;
    local->target.gateway = {};
    local->outstanding = 6;
    const std::vector<TargetLoadPtr> loads = {local, makeBusy(2, "turku", 0)};
    CHECK_EQUAL(2, portOf(loads, {.maxWait = 1s, .bulk = true}));
    CHECK_EQUAL(1, portOf(loads, {.maxWait = 1s, .bulk = true, .bulkTransferTime = 130ms}));
}

// The link keeps sending while the target runs the request. Counting the whole wait for the link would refuse requests
// whose response finds the link almost free.
TEST(PlacementPolicy, countsTheLinkWaitOnlyBeyondTheServiceTime)
{
    auto sending = makeBusy(1, "turku", 0);
    sending->largeResponseWait = 150ms;
    CHECK_EQUAL(1, portOf({sending}, {.maxWait = 60ms, .bulk = true}));
    CHECK_EQUAL(0, portOf({sending}, {.maxWait = 40ms, .bulk = true}));
}

// The link keeps sending after the report. Counting the reported wait for good would refuse all later large responses
// of the only target, and no report would correct it.
TEST(PlacementPolicy, countsTheLinkWaitOnlyUntilTheLinkHasSentTheBacklog)
{
    auto burst = makeBusy(1, "turku", 0);
    burst->largeResponseWait = 1500ms;
    burst->reportedAt = now - 1s;
    CHECK_EQUAL(1, portOf({burst}, {.maxWait = 410ms, .bulk = true}));
    CHECK_EQUAL(0, portOf({burst}, {.maxWait = 390ms, .bulk = true}));
    burst->reportedAt = now - 1500ms;
    const auto placement = policy.choose(std::vector{burst}, {.bulk = true}, 0, now);
    CHECK(placement.outcome == PlacementPolicy::Outcome::Free);
}

// Guards against taking a link for free because the report is old, while the links of all other targets are busy: the
// target's node would refuse the request, or its response would come late.
TEST(PlacementPolicy, expectsTheLinkWaitOfTheOtherTargetsWhenTheReportIsOld)
{
    auto old = makeBusy(1, "turku", 0);
    old->reportedAt = now - 10s;
    auto busy = makeBusy(2, "turku", 0);
    busy->largeResponseWait = 700ms;
    CHECK_EQUAL(0, portOf({old, busy}, {.maxWait = 580ms, .bulk = true}));
    CHECK(portOf({old, busy}, {.maxWait = 610ms, .bulk = true}) != 0);
    busy->reportedAt = now - 10s;
    CHECK(portOf({old, busy}, {.bulk = true}) != 0);
}

// Guards against choosing among targets by a backlog of large responses that has been sent since the report.
TEST(PlacementPolicy, returnsToATargetWhoseLinkHasSentTheBacklog)
{
    auto burst = makeBusy(1, "turku", 0);
    burst->largeResponseWait = 2s;
    const std::vector<TargetLoadPtr> loads = {burst, makeBusy(2, "helsinki", 0)};
    const PlacementQuery query{.maxWait = 3s, .bulk = true};
    CHECK_EQUAL(2, portOf(loads, query));
    burst->reportedAt = now - 2s;
    CHECK_EQUAL(1, portOf(loads, query));
}

// A target that fails requests quickly has few outstanding requests and would attract even more of them.
TEST(PlacementPolicy, avoidsATargetThatFails)
{
    auto failing = makeBusy(1, "turku", 0);
    failing->failureRate = 0.4;
    CHECK_EQUAL(2, portOf({failing, makeBusy(2, "helsinki", 5)}));
}

TEST(PlacementPolicy, avoidsASlowTarget)
{
    auto slow = makeBusy(1, "turku", 5);
    slow->serviceTime = 500ms;
    CHECK_EQUAL(2, portOf({slow, makeBusy(2, "helsinki", 5)}));
}

// If no target can start the request in time, it must be refused instead of queued.
TEST(PlacementPolicy, refusesWhenNoTargetHasRoomWithinTheLongestWait)
{
    const std::vector loads = {makeBusy(1, "turku", 40), makeBusy(2, "turku", 30)};
    const auto placement = policy.choose(loads, {.maxWait = 100ms}, 0, now);
    CHECK(placement.outcome == PlacementPolicy::Outcome::NoRoom);
    CHECK(placement.expectedWait == 210ms);
}

// Queued requests of a worse rank do not delay a request; counting them would refuse it for no reason.
TEST(PlacementPolicy, ignoresRequestsOfWorseRank)
{
    auto load = makeBusy(1, "turku", 10);
    load->report.waiting = {0, 0, 0, 20, 0};
    const std::vector loads = {load};
    const PlacementQuery urgent{.maxWait = 50ms, .rank = Priority::High};
    CHECK(policy.choose(loads, urgent, 0, now).outcome == PlacementPolicy::Outcome::Wait);
    const PlacementQuery low{.maxWait = 50ms, .rank = Priority::Low};
    CHECK(policy.choose(loads, low, 0, now).outcome == PlacementPolicy::Outcome::NoRoom);
}

// The requests in an old report have ended since; the target must not stay avoided because of them.
TEST(PlacementPolicy, ignoresAnOldReport)
{
    auto old = makeBusy(1, "turku", 30);
    old->reportedAt = now - 10s;
    const auto placement = policy.choose(std::vector{old}, {}, 0, now);
    CHECK(placement.outcome == PlacementPolicy::Outcome::Free);
}

// Without jitter, all nodes with the same load data would choose the same one of several equal targets.
TEST(PlacementPolicy, spreadsOverEqualTargets)
{
    std::map<int, int> counts;
    const std::vector loads = {makeBusy(1, "turku", 5), makeBusy(2, "turku", 5), makeBusy(3, "turku", 5)};
    for (int i = 0; i < 300; ++i) {
        ++counts[portOf(loads)];
    }
    for (const int port : {1, 2, 3}) {
        CHECK(counts[port] > 50);
    }
}

// A target that has just joined in a remote zone would otherwise get no requests because nearer targets cost less.
TEST(PlacementPolicy, triesAnUnusedTarget)
{
    auto joined = makeRemote(2, "helsinki");
    CHECK_EQUAL(2, portOf({makeBusy(1, "turku", 5), joined}));
}

TEST(PlacementPolicy, usesAnEjectedTargetOnlyIfThereIsNoOther)
{
    auto ejected = makeBusy(1, "turku", 0);
    ejected->ejectedUntil = now + 1s;
    CHECK_EQUAL(2, portOf({ejected, makeBusy(2, "helsinki", 9)}));
    CHECK_EQUAL(1, portOf({ejected}));
    CHECK_EQUAL(0, portOf({}));
}
