#include "retrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(RetryBudget){};

// If every attempt fails, unlimited retries would multiply the load of the targets.
TEST(RetryBudget, limitsRetriesToThePercentage)
{
    RetryBudget budget(10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.requestStarted();
        retries += budget.tryTakeRetry() ? 1 : 0;
    }
    // 10 % of 1000 requests, and at most the initial credit of 10.
    CHECK(retries >= 100);
    CHECK(retries <= 110);
}

TEST(RetryBudget, allowsNoRetriesAtZeroPercent)
{
    RetryBudget budget(0);
    budget.requestStarted();
    CHECK(!budget.tryTakeRetry());
}

// Repetitions that the node cannot refuse add load like its own retries, so they must use up the same budget.
TEST(RetryBudget, allowsNoRetriesUntilChargesAreCoveredAgain)
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

// Each node's part of the common reserve shrinks when nodes join. A node that kept its larger credit would let the
// nodes exceed the common reserve.
TEST(RetryBudget, dropsCreditAboveASmallerReserve)
{
    RetryBudget budget(50, 10);
    budget.setReserve(1);
    CHECK(budget.tryTakeRetry());
    CHECK_FALSE(budget.tryTakeRetry());
}
