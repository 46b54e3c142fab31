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

// Guards against responses that cross zones while there is room in the own one.
TEST(PlacementPolicy, prefersItsOwnZone)
{
    CHECK_EQUAL(1, portOf({makeBusy(1, "turku", 5), makeBusy(2, "helsinki", 5)}));
}

// Guards against a queue in the own zone beside free slots in another one.
TEST(PlacementPolicy, leavesAFullZone)
{
    CHECK_EQUAL(2, portOf({makeBusy(1, "turku", 14), makeBusy(2, "helsinki", 3)}));
}

// Guards against a large response that passes two slow links although a target on this host has a free slot.
TEST(PlacementPolicy, keepsALargeResponseOnItsHost)
{
    auto own = makeBusy(1, "turku", 0);
    own->own = true;
    own->target.gateway = {};
    own->outstanding = 6;
    const std::vector<TargetLoadPtr> loads = {own, makeBusy(2, "turku", 0)};
    CHECK_EQUAL(2, portOf(loads, {.maxWait = 1s, .bulk = true}));
    CHECK_EQUAL(1, portOf(loads, {.maxWait = 1s, .bulk = true, .bulkHop = 130ms}));
}

// Guards against a wait for a link that has sent everything when the target has done its work.
TEST(PlacementPolicy, countsTheLinkOnlyBeyondTheWork)
{
    auto sending = makeBusy(1, "turku", 0);
    sending->largeWait = 150ms;
    CHECK_EQUAL(1, portOf({sending}, {.maxWait = 60ms, .bulk = true}));
    CHECK_EQUAL(0, portOf({sending}, {.maxWait = 40ms, .bulk = true}));
}

// Guards against a target that fails many requests and looks idle because it fails them soon.
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

// Guards against a caller that waits although no target can serve it in time.
TEST(PlacementPolicy, findsNoRoomWithinTheLongestWait)
{
    const std::vector loads = {makeBusy(1, "turku", 40), makeBusy(2, "turku", 30)};
    const auto placement = policy.choose(loads, {.maxWait = 100ms}, 0, now);
    CHECK(placement.verdict == PlacementPolicy::Verdict::NoRoom);
    CHECK(placement.expectedWait == 210ms);
}

// Guards against requests that wait behind others which come after them anyway.
TEST(PlacementPolicy, ignoresRequestsOfWorseRank)
{
    auto load = makeBusy(1, "turku", 10);
    load->report.waiting = {0, 0, 0, 20, 0};
    const std::vector loads = {load};
    const PlacementQuery urgent{.maxWait = 50ms, .rank = Priority::High};
    CHECK(policy.choose(loads, urgent, 0, now).verdict == PlacementPolicy::Verdict::Wait);
    const PlacementQuery low{.maxWait = 50ms, .rank = Priority::Low};
    CHECK(policy.choose(loads, low, 0, now).verdict == PlacementPolicy::Verdict::NoRoom);
}

// Guards against trust in a report whose requests have long ended.
TEST(PlacementPolicy, forgetsAnOldReport)
{
    auto old = makeBusy(1, "turku", 30);
    old->reportedAt = now - 10s;
    const auto placement = policy.choose(std::vector{old}, {}, 0, now);
    CHECK(placement.verdict == PlacementPolicy::Verdict::Free);
}

// Guards against nodes with the same view that all choose the same of several equal targets.
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

// Guards against a target that joined and gets nothing because all others are nearer.
TEST(PlacementPolicy, triesATargetThatItHasNotUsed)
{
    auto joined = makeRemote(2, "helsinki");
    CHECK_EQUAL(2, portOf({makeBusy(1, "turku", 5), joined}));
}

TEST(PlacementPolicy, usesAnEjectedTargetOnlyWithoutAnother)
{
    auto ejected = makeBusy(1, "turku", 0);
    ejected->ejectedUntil = now + 1s;
    CHECK_EQUAL(2, portOf({ejected, makeBusy(2, "helsinki", 9)}));
    CHECK_EQUAL(1, portOf({ejected}));
    CHECK_EQUAL(0, portOf({}));
}
