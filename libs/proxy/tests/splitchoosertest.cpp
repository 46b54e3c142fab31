#include "splitchooser.h"

#include <cstdlib>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

/** Requests of all nodes together that went to the service "new", when each node sends @p requests. */
double shareOfNew(std::vector<std::unique_ptr<SplitChooser>> &nodes, const Route &route, int requests)
{
    int chosen = 0;
    for (const auto &node : nodes) {
        for (int i = 0; i < requests; ++i) {
            chosen += node->choose(route) == "new" ? 1 : 0;
        }
    }
    return static_cast<double>(chosen) / (static_cast<double>(nodes.size()) * requests);
}

} // namespace

TEST_GROUP(SplitChooser)
{
    SplitChooser chooser{5};
    Route route;

    void setup() override
    {
        route.name = "rota";
        route.service = "old";
        route.splits = {{.service = "new", .weight = 10}, {.service = "old", .weight = 90}};
    }

    int chosenOf(int n)
    {
        int count = 0;
        for (int i = 0; i < n; ++i) {
            count += chooser.choose(route) == "new" ? 1 : 0;
        }
        return count;
    }
};

// A random choice keeps the weights only on average. With a weight of 10 in 100, exactly one of any ten consecutive
// requests must go to the split.
TEST(SplitChooser, keepsTheWeightsOverShortSequences)
{
    for (int i = 0; i < 20; ++i) {
        CHECK_EQUAL(1, chosenOf(10));
    }
}

TEST(SplitChooser, followsAChangeOfTheWeights)
{
    chosenOf(7);
    route.splits = {{.service = "new", .weight = 50}, {.service = "old", .weight = 50}};
    CHECK(std::abs(chosenOf(100) - 50) <= 1);
    route.splits = {{.service = "new", .weight = 0}, {.service = "old", .weight = 1}};
    CHECK_EQUAL(0, chosenOf(20));
}

TEST(SplitChooser, choosesTheServiceOfARouteWithoutSplits)
{
    route.splits.clear();
    CHECK_EQUAL(0, chosenOf(5));
    STRCMP_EQUAL("old", chooser.choose(route).c_str());
}

// Guards against nodes that start their cycles in step: with a few requests each, all of them would go to one split.
// The users allow a share to be off its weight by 0.1.
TEST(SplitChooser, keepsTheWeightsOverManyNodesWithFewRequestsEach)
{
    constexpr double allowed = 0.1;
    std::vector<std::unique_ptr<SplitChooser>> nodes;
    for (std::uint64_t seed = 1; seed <= 90; ++seed) {
        nodes.push_back(std::make_unique<SplitChooser>(seed));
    }
    for (const std::uint32_t weight : {10U, 35U, 50U, 80U}) {
        // Each change of the weights starts new cycles.
        route.splits = {{.service = "new", .weight = weight}, {.service = "old", .weight = 100 - weight}};
        for (const int requests : {3, 1, 7}) {
            const auto share = shareOfNew(nodes, route, requests);
            CHECK_TEXT(std::abs(share - weight / 100.0) <= allowed,
                       (std::to_string(share) + " at weight " + std::to_string(weight)).c_str());
        }
    }
}
