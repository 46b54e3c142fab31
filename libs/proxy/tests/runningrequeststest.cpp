#include "runningrequests.h"
#include "callageestimator.h"
#include "routetimes.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(RunningRequests)
{
    RunningRequests running;

    void runOnce(const std::string &id, int calls)
    {
        running.add(id, {.route = "lookup"});
        for (int i = 0; i < calls; ++i) {
            running.callStarted(id + "." + std::to_string(i), "records");
        }
        running.remove(id);
    }
};

// A caller must not get the better rank of nested calls by sending an id that merely looks like one.
TEST(RunningRequests, recognisesNestedCallsOfRunningRequestsOnly)
{
    running.add("a1", {.route = "lookup"});
    CHECK(running.isNestedCall("a1.x"));
    CHECK_FALSE(running.isNestedCall("a2.x"));
    CHECK_FALSE(running.isNestedCall("a1"));
    running.remove("a1");
    CHECK_FALSE(running.isNestedCall("a1.x"));
}

// Guards against refusing for good the nested calls of a request that a target still runs after its attempt has ended.
TEST(RunningRequests, remembersAnEndedRequestUntilItsDeadline)
{
    const auto now = TimePoint() + 1h;
    const CallAccount account{.name = "north"};
    running.add("a1", {.route = "lookup", .account = account, .deadline = now + 2s});
    CHECK(running.callerOf("a1.x", now).parent == CallParent::Running);
    CHECK(running.callerOf("a1.x", now).account == account);
    running.remove("a1", now);
    CHECK(running.callerOf("a1.x", now + 1999ms).parent == CallParent::Ended);
    CHECK(running.callerOf("a1.x", now + 2s).parent == CallParent::Unknown);
    CHECK(running.callerOf("a1", now).parent == CallParent::None);
}

TEST(RunningRequests, derivesDependenciesFromNestedCalls)
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

// Requests must not be refused because of an overloaded service that their route no longer calls.
TEST(RunningRequests, dropsADependencyThatIsNoLongerCalled)
{
    for (int i = 0; i < 20; ++i) {
        runOnce("a" + std::to_string(i), 1);
    }
    for (int i = 0; i < 1000; ++i) {
        runOnce("b" + std::to_string(i), 0);
    }
    CHECK(running.dependenciesOf("lookup").empty());
}

// A request that failed because a service that it calls failed must not be retried on another target, which would call
// the same service.
TEST(RunningRequests, reportsAFailedNestedCall)
{
    running.add("a1", {.route = "lookup"});
    running.callFailed("a1.x");
    running.callFailed("unknown.x");
    CHECK(running.remove("a1"));
    running.add("a1", {.route = "lookup"});
    CHECK_FALSE(running.remove("a1"));
}

// The nested calls of repeated requests are additional load on the services below. They must be charged to the retry
// budgets of those services.
TEST(RunningRequests, reportsNestedCallsOfARepeatedRequest)
{
    running.add("a1", {.route = "lookup", .repeated = true});
    running.add("a2", {.route = "lookup", .repeated = false});
    CHECK(running.callStarted("a1.x", "records"));
    CHECK_FALSE(running.callStarted("a2.x", "records"));
    CHECK_FALSE(running.callStarted("a3.x", "records"));
}

TEST_GROUP(CallAgeEstimator){};

// A caller that retries after a refusal has already waited. Without its age, its request would be ranked as if it could
// still meet its latency objective.
TEST(CallAgeEstimator, estimatesHowLongACallerHasWaited)
{
    CallAgeEstimator ages;
    CHECK(ages.ageOf("lookup", 3000ms) == 0ms);
    CHECK(ages.ageOf("lookup", 2400ms) == 600ms);
    CHECK(ages.ageOf("lookup", std::nullopt) == 0ms);
    CHECK(ages.ageOf("other", 500ms) == 0ms);
}

TEST_GROUP(RouteTimes){};

// With one mean for the whole service, the long requests of one route would make the short ones of another look too
// late.
TEST(RouteTimes, keepsAMeanPerRoute)
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
