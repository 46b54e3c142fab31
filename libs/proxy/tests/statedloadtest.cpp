#include "targetload.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(StatedLoad)
{
    const TimePoint now{1h};
    TargetLoad load;

    void setup() override
    {
        load.slots = 8;
    }
};

TEST(StatedLoad, parsesThreeOrFourNumbers)
{
    CHECK((StatedLoad::parse("3,1,8") == StatedLoad{.running = 3, .waiting = 1, .slots = 8}));
    CHECK((StatedLoad::parse("3, 0, 8, 250") == StatedLoad{.running = 3, .slots = 8, .timePercent = 250}));
}

// Guards against a placement that follows the header of a faulty target.
TEST(StatedLoad, refusesMalformedText)
{
    for (const char *text :
         {"", "3,1", "3,1,0", "-1,0,8", "3,1,8,0", "3,1,8,x", "3,1,8,100,1", "3,1,8,99999", "3,1,8,"}) {
        CHECK_FALSE(StatedLoad::parse(text).has_value());
    }
}

// Guards against more requests than slots after a restart of the node: the target still runs those of the process
// before, and may never answer what it cannot queue.
TEST(StatedLoad, leavesRoomForRequestsOfAnEarlierProcess)
{
    load.outstanding = 2;
    load.applyStated({.running = 7, .waiting = 0, .slots = 8}, now);
    CHECK_EQUAL(3, load.concurrencyLimit());
    load.applyStated({.running = 8, .waiting = 8, .slots = 8}, now);
    CHECK_EQUAL(1, load.concurrencyLimit());
    load.applyStated({.running = 2, .waiting = 0, .slots = 8}, now);
    CHECK_EQUAL(8, load.concurrencyLimit());
}

// Guards against counting a host that is always slow twice: its service time already shows it.
TEST(StatedLoad, comparesTheSlowdownWithTheUsualOne)
{
    load.applyStated({.running = 1, .slots = 8, .timePercent = 250}, now);
    CHECK(load.slowdown > 2.4);
    for (int i = 0; i < 500; ++i) {
        load.applyStated({.running = 1, .slots = 8, .timePercent = 250}, now);
    }
    DOUBLES_EQUAL(1, load.slowdown, 0.01);
}
