#include <hornbeam/rollouts/versiongate.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

VersionRule rule(std::uint32_t share)
{
    return {.service = "menu",
            .stableVersion = "v1",
            .freshVersion = "v2",
            .sharePerMille = share,
            .order = 5,
            .step = 1,
            .shareLimit = 0.09,
            .extraRequests = 0.4};
}

} // namespace

TEST_GROUP(VersionGate)
{
    VersionGate gate{7};

    /** Sends requests by the decisions of the gate; returns how many went to the new version. */
    int send(int requests, VersionGate &to)
    {
        int fresh = 0;
        for (int i = 0; i < requests; ++i) {
            const auto track = to.next("menu");
            fresh += track == VersionTrack::Fresh ? 1 : 0;
            to.sent("menu", track);
        }
        return fresh;
    }
};

TEST(VersionGate, sendsThePlannedShare)
{
    gate.setRules({rule(40)});
    const auto fresh = send(1000, gate);
    CHECK(fresh >= 39 && fresh <= 41);
}

// Guards against nodes that together send far more or less than the share because each rounds it in the same direction.
TEST(VersionGate, keepsTheShareOverManyNodesWithFewRequestsEach)
{
    int fresh = 0;
    for (std::uint64_t node = 1; node <= 300; ++node) {
        VersionGate own(node);
        own.setRules({rule(60)});
        fresh += send(8, own);
    }
    // 300 nodes with 8 requests each; the limit of each node lets only part of them send their first one.
    CHECK(fresh <= 300 * 8 * 0.1 + 50);
    CHECK(fresh >= 40);
}

// Guards against a switch before the deadline that exceeds the limit, for example in a burst.
TEST(VersionGate, keepsTheLimitDuringASwitch)
{
    gate.setRules({rule(40)});
    int fresh = send(2000, gate);
    auto switching = rule(1000);
    switching.step = 2;
    gate.setRules({switching});
    fresh += send(3000, gate);
    CHECK(fresh <= 5000 * 0.09 + 1);
    CHECK(fresh >= 5000 * 0.08);
}

// Guards against requests to a version that nothing has allowed.
TEST(VersionGate, holdsVersionsThatNoRuleNames)
{
    gate.setRules({{.service = "menu", .stableVersion = "v1"}});
    CHECK(gate.trackOf("menu", "v1") == VersionTrack::Stable);
    CHECK(gate.trackOf("menu", "v2") == VersionTrack::Held);
    CHECK(gate.trackOf("menu", "") == VersionTrack::Held);
    CHECK(gate.trackOf("other", "v9") == VersionTrack::Stable);
    CHECK(gate.next("menu") == VersionTrack::Stable);
    gate.setRules({rule(0)});
    CHECK(gate.trackOf("menu", "v2") == VersionTrack::Fresh);
    CHECK_EQUAL(0, send(1000, gate));
}

// Guards against a node that keeps sending to a bad version while no step reaches it.
TEST(VersionGate, cutsAFailingVersionUntilTheNextStep)
{
    gate.setRules({rule(40)});
    for (int i = 0; i < 16; ++i) {
        gate.responded("menu", VersionTrack::Fresh, i % 2 == 0);
    }
    CHECK_EQUAL(0, send(1000, gate));
    auto next = rule(40);
    next.step = 2;
    gate.setRules({next});
    CHECK(send(1000, gate) > 30);
}

// Guards against nodes that give up a good version because an overloaded service fails requests of both versions.
TEST(VersionGate, doesNotCutAVersionThatFailsLikeTheStableOne)
{
    gate.setRules({rule(40)});
    for (int i = 0; i < 64; ++i) {
        gate.responded("menu", VersionTrack::Stable, i % 2 == 0);
        gate.responded("menu", VersionTrack::Fresh, i % 2 == 1);
    }
    CHECK(send(1000, gate) > 30);
}

// Guards against a limit that starts anew with each step.
TEST(VersionGate, keepsItsCountsOverTheStepsOfAnOrder)
{
    gate.setRules({rule(200)});
    int fresh = send(500, gate);
    for (std::uint64_t step = 2; step < 20; ++step) {
        auto next = rule(200);
        next.step = step;
        gate.setRules({next});
        fresh += send(100, gate);
    }
    CHECK(fresh <= (500 + 18 * 100) * 0.09 + 1);
}
