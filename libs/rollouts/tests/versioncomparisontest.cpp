#include <hornbeam/rollouts/versioncomparison.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

OutcomeCounts counts(std::uint64_t requests, std::uint64_t failures, std::chrono::milliseconds mean)
{
    return {.requests = requests, .failures = failures, .totalTime = mean * static_cast<int>(requests)};
}

} // namespace

TEST_GROUP(VersionComparison){};

TEST(VersionComparison, findsFailuresOfHalfOfTheRequests)
{
    const RouteOutcomes stable{{"browse", counts(900, 9, 100ms)}};
    CHECK(findDegradation(stable, {{"browse", counts(20, 10, 100ms)}}).has_value());
    CHECK_FALSE(findDegradation(stable, {{"browse", counts(20, 1, 100ms)}}).has_value());
}

// Guards against a bad route that the successes of the other routes hide.
TEST(VersionComparison, findsFailuresOfOneRoute)
{
    const RouteOutcomes stable{{"browse", counts(5000, 10, 100ms)}, {"order", counts(500, 1, 100ms)}};
    CHECK(findDegradation(stable, {{"browse", counts(200, 0, 100ms)}, {"order", counts(12, 6, 100ms)}}).has_value());
}

// Guards against a route with few requests whose failures are never judged because no route has enough of them.
TEST(VersionComparison, findsFailuresThatAreSpreadOverManyRoutes)
{
    RouteOutcomes stable;
    RouteOutcomes fresh;
    for (int i = 0; i < 10; ++i) {
        const auto route = "route-" + std::to_string(i);
        stable[route] = counts(100, 0, 100ms);
        fresh[route] = counts(2, 1, 100ms);
    }
    CHECK(findDegradation(stable, fresh).has_value());
}

TEST(VersionComparison, findsSlowResponsesOfOneRoute)
{
    const RouteOutcomes stable{{"browse", counts(500, 0, 100ms)}, {"order", counts(500, 0, 300ms)}};
    const RouteOutcomes fresh{{"browse", counts(40, 0, 100ms)}, {"order", counts(30, 0, 2400ms)}};
    CHECK(findDegradation(stable, fresh).has_value());
    CHECK_FALSE(findFailures(stable, fresh).has_value());
}

// Guards against a roll-back under general overload, where both versions fail and slow down alike.
TEST(VersionComparison, acceptsAVersionThatIsAsOverloadedAsTheOther)
{
    const RouteOutcomes stable{{"browse", counts(1000, 400, 900ms)}};
    CHECK_FALSE(findDegradation(stable, {{"browse", counts(50, 23, 1500ms)}}).has_value());
}

// Guards against a roll-back because targets of the new version run on slower hosts.
TEST(VersionComparison, acceptsSlowerHosts)
{
    const RouteOutcomes stable{{"browse", counts(1000, 0, 100ms)}};
    CHECK_FALSE(findDegradation(stable, {{"browse", counts(200, 0, 250ms)}}).has_value());
}

TEST(VersionComparison, doesNotJudgeFewRequests)
{
    const RouteOutcomes stable{{"browse", counts(1000, 0, 100ms)}};
    CHECK_FALSE(findDegradation(stable, {{"browse", counts(4, 4, 5000ms)}}).has_value());
}

// Guards against a report that does not survive the network, or that crashes the decider.
TEST(VersionComparison, encodesReports)
{
    const OutcomeReport report{.service = "menu",
                               .order = 12,
                               .elapsed = 340ms,
                               .versions = {{"v2", {{"browse", counts(7, 2, 30ms)}}}, {"v1", {}}}};
    CHECK(OutcomeReport::decode(report.encode()) == report);
    for (const char *text : {"",
                             "[]",
                             "{\"service\":1}",
                             "{\"service\":\"a\",\"order\":1,\"elapsedMs\":1,"
                             "\"versions\":{\"v1\":{\"r\":[1]}}}"}) {
        CHECK_FALSE(OutcomeReport::decode(text).has_value());
    }
}
