#include <hornbeam/base/faketimerservice.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(FakeTimerService)
{
    FakeTimerService timers;
    int calls = 0;
};

TEST(FakeTimerService, runsPeriodicTimersOncePerPeriod)
{
    const auto handle = timers.every(10ms, [&] { ++calls; });
    timers.advance(35ms);
    CHECK_EQUAL(3, calls);
}

TEST(FakeTimerService, cancelsWithTheHandle)
{
    auto handle = timers.once(10ms, [&] { ++calls; });
    handle.reset();
    timers.advance(20ms);
    CHECK_EQUAL(0, calls);
}
