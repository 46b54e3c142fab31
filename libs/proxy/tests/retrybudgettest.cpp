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
