#include "splitchooser.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

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
