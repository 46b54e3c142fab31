#include "targetselector.h"

#include <cstdlib>
#include <iostream>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Seed of the random choices; HORNBEAM_TEST_SEED overrides the default. */
std::uint64_t testSeed()
{
    const char *text = std::getenv("HORNBEAM_TEST_SEED");
    const auto seed = text != nullptr ? std::strtoull(text, nullptr, 10) : 42;
    std::cout << "seed " << seed << '\n';
    return seed;
}

TargetLoadPtr makeLoad(std::uint16_t port, const std::string &zone, std::uint32_t slots = 10)
{
    auto load = std::make_shared<TargetLoad>();
    load->target.address = Endpoint("10.0.0.1", port);
    load->target.zone = zone;
    load->slots = slots;
    load->firstSeen = TimePoint::min();
    return load;
}

} // namespace

TEST_GROUP(TargetSelector)
{
    const TimePoint now{1h};
    TargetSelector selector{{.zone = "turku", .slowStart = 10s, .seed = testSeed()}};

    /** Selects @p n times and returns how often each port was chosen. @p hold: the slots stay in use. */
    std::map<int, int> selectMany(const std::vector<TargetLoadPtr> &loads, int n, bool hold)
    {
        std::map<int, int> counts;
        for (int i = 0; i < n; ++i) {
            const auto selection = selector.select(loads, {}, now);
            if (selection.target) {
                ++counts[selection.target->target.address.port()];
                selection.target->outstanding += hold ? 1 : 0;
            }
        }
        return counts;
    }
};

// Requests must not cross zones while the local zone has free slots.
TEST(TargetSelector, prefersTheLocalZone)
{
    const std::vector loads = {makeLoad(1, "turku", 5), makeLoad(2, "helsinki", 100)};
    auto counts = selectMany(loads, 5, true);
    CHECK_EQUAL(5, counts[1]);
    counts = selectMany(loads, 5, true);
    CHECK_EQUAL(5, counts[2]);
}

TEST(TargetSelector, selectsOnlyTargetsWithFreeSlots)
{
    const std::vector loads = {makeLoad(1, "turku", 3), makeLoad(2, "turku", 4)};
    const auto counts = selectMany(loads, 100, true);
    CHECK_EQUAL(3, counts.at(1));
    CHECK_EQUAL(4, counts.at(2));
    CHECK(selector.select(loads, {}, now).outcome == TargetSelector::Outcome::Busy);
}

// Outstanding requests per slot must stay even, without a thundering herd on one target.
TEST(TargetSelector, balancesOutstandingRequests)
{
    std::vector<TargetLoadPtr> loads;
    for (std::uint16_t i = 1; i <= 10; ++i) {
        loads.push_back(makeLoad(i, "turku", 1000));
    }
    const auto counts = selectMany(loads, 1000, true);
    for (const auto &[port, n] : counts) {
        CHECK(n > 85 && n < 115);
    }
}

// A target that has just started must not get its full share of requests while its caches are cold.
TEST(TargetSelector, startsNewTargetsSlowly)
{
    const std::vector loads = {makeLoad(1, "turku"), makeLoad(2, "turku")};
    loads[1]->firstSeen = now - 1s;
    auto counts = selectMany(loads, 1000, false);
    CHECK(counts[2] > 10 && counts[2] < 120);
    loads[1]->firstSeen = now - 10s;
    counts = selectMany(loads, 1000, false);
    CHECK(counts[2] > 400 && counts[2] < 600);
}

// If all targets of a service are new, slow start must not leave requests without a target.
TEST(TargetSelector, usesColdTargetsWhenThereAreNoOthers)
{
    const std::vector loads = {makeLoad(1, "turku"), makeLoad(2, "turku")};
    for (const auto &load : loads) {
        load->firstSeen = now;
    }
    const auto counts = selectMany(loads, 1000, false);
    CHECK(counts.at(1) > 400 && counts.at(2) > 400);
}

TEST(TargetSelector, selectsOnlyTargetsWithTheRequiredLabels)
{
    const std::vector loads = {makeLoad(1, "turku"), makeLoad(2, "helsinki")};
    loads[1]->target.labels = {{"arch", "arm"}, {"track", "canary"}};
    const std::vector<Label> canary = {{"track", "canary"}};
    CHECK_EQUAL(2,
                selector.select(loads, {.requiredLabels = canary, .excluded = {}}, now).target->target.address.port());
    const std::vector<Label> stable = {{"track", "stable"}};
    CHECK(selector.select(loads, {.requiredLabels = stable, .excluded = {}}, now).outcome
          == TargetSelector::Outcome::NoTarget);
}

TEST(TargetSelector, avoidsExcludedAndEjectedTargets)
{
    const std::vector loads = {makeLoad(1, "turku"), makeLoad(2, "turku"), makeLoad(3, "helsinki")};
    const std::vector excluded = {loads[0]->target.address};
    loads[1]->ejectedUntil = now + 1s;
    CHECK_EQUAL(
        3, selector.select(loads, {.requiredLabels = {}, .excluded = excluded}, now).target->target.address.port());
}

// If all targets are ejected, refusing every request would turn their failures into an outage.
TEST(TargetSelector, fallsBackToEjectedTargets)
{
    const std::vector loads = {makeLoad(1, "turku")};
    loads[0]->ejectedUntil = now + 1s;
    CHECK(selector.select(loads, {}, now).outcome == TargetSelector::Outcome::Selected);
}
