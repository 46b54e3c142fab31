#include "retrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(RetryBudget){};

// Guards against retries that multiply the load while every attempt fails.
TEST(RetryBudget, limitsRetriesToTheirShare)
{
    RetryBudget budget(10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.requestStarted();
        retries += budget.tryTakeRetry() ? 1 : 0;
    }
    // The share of 1000 requests and the saved-up credit.
    CHECK(retries >= 100);
    CHECK(retries <= 110);
}

TEST(RetryBudget, allowsNoneAtZeroPercent)
{
    RetryBudget budget(0);
    budget.requestStarted();
    CHECK(!budget.tryTakeRetry());
}

// Guards against retries that come on top of repetitions which the node could not avoid.
TEST(RetryBudget, isOverdrawnByChargedRepetitions)
{
    RetryBudget budget(50, 2);
    for (int i = 0; i < 3; ++i) {
        budget.chargeRetry();
    }
    CHECK_FALSE(budget.tryTakeRetry());
    for (int i = 0; i < 3; ++i) {
        budget.requestStarted();
        CHECK_FALSE(budget.tryTakeRetry());
    }
    budget.requestStarted();
    CHECK(budget.tryTakeRetry());
}

// Guards against a share of a fleet's budget that grows when the fleet becomes larger.
TEST(RetryBudget, losesWhatExceedsASmallerReserve)
{
    RetryBudget budget(50, 10);
    budget.setReserve(1);
    CHECK(budget.tryTakeRetry());
    CHECK_FALSE(budget.tryTakeRetry());
}
