#include <hornbeam/rollouts/rolloutplan.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Part of all requests that the new version has received by @p until, at a constant request rate. */
double exposure(const RolloutPlan &plan, Duration duration, Duration until)
{
    double requests = 0;
    double fresh = 0;
    for (Duration at{0}; at < duration; at += 1ms) {
        requests += 1;
        fresh += at < until ? plan.stageAt(at).sharePerMille / 1000.0 : 0;
    }
    return fresh / requests;
}

} // namespace

TEST_GROUP(RolloutPlan){};

// Guards against a plan that gives a version that turns bad just before its completion more than the canary share.
TEST(RolloutPlan, keepsTheAllowanceUpToTheEndOfTheSwitch)
{
    for (const Duration duration : {Duration(5s), Duration(12s), Duration(16s), Duration(60s)}) {
        const RolloutPlan plan({.canaryShare = 0.1}, duration);
        const auto end = plan.switchStart() + plan.switchLength();
        CHECK(exposure(plan, duration, end) < 0.1 * 0.9);
        CHECK(end < duration);
    }
}

// Guards against a first stage that exposes many requests to a version that is bad from its start.
TEST(RolloutPlan, raisesTheShareByStepsAndSwitchesLast)
{
    const RolloutPlan plan({.canaryShare = 0.1}, 15s);
    CHECK(plan.stageAt(0s) == (PlannedStage{.phase = RolloutPhase::Canary, .sharePerMille = 20}));
    CHECK(plan.stageAt(4s) == (PlannedStage{.phase = RolloutPhase::Canary, .sharePerMille = 40}));
    CHECK(plan.stageAt(10s) == (PlannedStage{.phase = RolloutPhase::Canary, .sharePerMille = 60}));
    CHECK(plan.stageAt(plan.switchStart() - 1ms).phase == RolloutPhase::Canary);
    CHECK(plan.stageAt(plan.switchStart()).phase == RolloutPhase::Switch);
    CHECK(plan.stageAt(1h).phase == RolloutPhase::Switch);
}

// Guards against a division by zero or a negative time for an order without a duration.
TEST(RolloutPlan, switchesAtOnceWithoutDuration)
{
    const RolloutPlan plan({.canaryShare = 0.1}, 0s);
    CHECK(plan.stageAt(1ms).phase == RolloutPhase::Switch);
}
