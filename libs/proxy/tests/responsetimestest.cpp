#include "responsetimes.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(ResponseTimes)
{
    ResponseTimes times;
    const TimePoint start = std::chrono::steady_clock::now();
};

// Guards against a slow response that is forgotten because quick ones follow it.
TEST(ResponseTimes, keepsTheLongestTimeOfEachRoute)
{
    times.note("rota", 400ms, start);
    for (int i = 1; i <= 1000; ++i) {
        times.note("rota", 20ms, start + i * 20ms);
        times.note("swaps", 30ms, start + i * 20ms);
    }
    CHECK(times.longest("rota", start + 20s) == 400ms);
    CHECK(times.longest("swaps", start + 20s) == 30ms);
    CHECK(times.longest("unknown", start) == Duration::zero());
}

// Guards against a single slow response that makes each later stop refuse requests.
TEST(ResponseTimes, forgetsOldTimes)
{
    times.note("rota", 400ms, start);
    times.note("rota", 20ms, start + 31s);
    CHECK(times.longest("rota", start + 31s) == 400ms);
    CHECK(times.longest("rota", start + 62s) == 20ms);
    CHECK(times.longest("rota", start + 200s) == Duration::zero());
}
