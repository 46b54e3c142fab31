#include <hornbeam/base/backoff.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(Backoff){};

// Guards against an unbounded delay, after which a node would reconnect long after the store has recovered.
TEST(Backoff, neverExceedsTheMaximum)
{
    Backoff backoff({.initial = 10ms, .maximum = 100ms, .seed = 7});
    for (int i = 0; i < 50; ++i) {
        CHECK(backoff.next() <= 100ms);
    }
}

// Guards against synchronised reconnects: two processes with different seeds must not share their delays.
TEST(Backoff, differsBetweenSeeds)
{
    Backoff first({.initial = 1s, .maximum = 10s, .seed = 1});
    Backoff second({.initial = 1s, .maximum = 10s, .seed = 2});
    CHECK(first.next() != second.next());
}

TEST(Backoff, restoresTheInitialBoundOnReset)
{
    Backoff backoff({.initial = 10ms, .maximum = 10s, .seed = 3});
    for (int i = 0; i < 10; ++i) {
        backoff.next();
    }
    backoff.reset();
    CHECK(backoff.next() <= 10ms);
}
