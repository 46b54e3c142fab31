#include "runningrequests.h"
#include "callerages.h"
#include "routetimes.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(RunningRequests)
{
    RunningRequests running;

    void runOnce(const std::string &id, int calls)
    {
        running.add(id, "lookup");
        for (int i = 0; i < calls; ++i) {
            running.callStarted(id + "." + std::to_string(i), "records");
        }
        running.remove(id);
    }
};

// Guards against a caller that gets a better rank by the form of its identifier alone.
TEST(RunningRequests, recognisesCallsOfRunningRequestsOnly)
{
    running.add("a1", "lookup");
    CHECK(running.isCall("a1.x"));
    CHECK_FALSE(running.isCall("a2.x"));
    CHECK_FALSE(running.isCall("a1"));
    running.remove("a1");
    CHECK_FALSE(running.isCall("a1.x"));
}

TEST(RunningRequests, learnsDependencies)
{
    for (int i = 0; i < 9; ++i) {
        runOnce("a" + std::to_string(i), 2);
    }
    CHECK(running.dependenciesOf("lookup").empty());
    runOnce("b", 2);
    const auto dependencies = running.dependenciesOf("lookup");
    CHECK_EQUAL(1, dependencies.size());
    STRCMP_EQUAL("records", dependencies[0].service.c_str());
    DOUBLES_EQUAL(2, dependencies[0].callsPerRun, 0.01);
}

// Guards against requests that are refused for a service that their route no longer calls.
TEST(RunningRequests, forgetsADependency)
{
    for (int i = 0; i < 20; ++i) {
        runOnce("a" + std::to_string(i), 1);
    }
    for (int i = 0; i < 1000; ++i) {
        runOnce("b" + std::to_string(i), 0);
    }
    CHECK(running.dependenciesOf("lookup").empty());
}

// Guards against a repetition elsewhere of a request that failed because of a service that it calls.
TEST(RunningRequests, tellsThatACallFailed)
{
    running.add("a1", "lookup");
    running.callFailed("a1.x");
    running.callFailed("unknown.x");
    CHECK(running.remove("a1"));
    running.add("a1", "lookup");
    CHECK_FALSE(running.remove("a1"));
}

// Guards against a retry budget that does not see the calls of repeated requests, which multiply one service further.
TEST(RunningRequests, tellsThatACallBelongsToARepeatedRequest)
{
    running.add("a1", "lookup", true);
    running.add("a2", "lookup", false);
    CHECK(running.callStarted("a1.x", "records"));
    CHECK_FALSE(running.callStarted("a2.x", "records"));
    CHECK_FALSE(running.callStarted("a3.x", "records"));
}

TEST_GROUP(CallerAges){};

// Guards against a request that came back after a refusal and is treated as one that can still meet its objective.
TEST(CallerAges, tellsHowLongACallerHasWaited)
{
    CallerAges ages;
    CHECK(ages.ageOf("lookup", 3000ms) == 0ms);
    CHECK(ages.ageOf("lookup", 2400ms) == 600ms);
    CHECK(ages.ageOf("lookup", std::nullopt) == 0ms);
    CHECK(ages.ageOf("other", 500ms) == 0ms);
}

TEST_GROUP(RouteTimes){};

// Guards against short requests that are refused as too late by the mean time of the long ones of their service.
TEST(RouteTimes, keepsRoutesApart)
{
    RouteTimes times;
    CHECK(times.of("status", 90ms) == 90ms);
    times.note("export", 200ms);
    times.note("status", 60ms);
    CHECK(times.of("status", 90ms) == 60ms);
    for (int i = 0; i < 200; ++i) {
        times.note("status", 100ms);
    }
    CHECK(times.of("status", 90ms) > 95ms);
    CHECK(times.of("export", 90ms) == 200ms);
}
