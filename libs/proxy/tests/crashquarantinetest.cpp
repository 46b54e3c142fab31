#include <hornbeam/proxy/crashquarantine.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(CrashQuarantine)
{
    const TimePoint now{1h};
    const Digest crashing = Digest::of("crashing");
    const Digest harmless = Digest::of("harmless");
    const Endpoint first{"10.0.0.1", 80};
    const Endpoint second{"10.0.0.2", 80};
    CrashQuarantine quarantine{{.window = 30s, .quarantine = 600s, .maxSuspects = 2}};
};

// A request that crashes its target must be stopped before its repetitions crash further targets.
TEST(CrashQuarantine, quarantinesAfterCrashesOfTwoTargets)
{
    CHECK(!quarantine.report(crashing, first, now));
    CHECK(quarantine.quarantined(now).empty());
    CHECK(quarantine.report(crashing, second, now + 29s));
    CHECK(quarantine.quarantined(now + 29s) == std::vector{crashing});
}

// A faulty target that crashes on every request must not get those requests quarantined.
TEST(CrashQuarantine, needsTwoDifferentTargets)
{
    quarantine.report(crashing, first, now);
    CHECK(!quarantine.report(crashing, first, now + 1s));
    CHECK(quarantine.quarantined(now + 1s).empty());
}

TEST(CrashQuarantine, ignoresCrashesOutsideTheWindow)
{
    quarantine.report(crashing, first, now);
    CHECK(!quarantine.report(crashing, second, now + 30s));
}

// A request that was merely in flight on a crashing target must not be quarantined after a later crash of another one.
TEST(CrashQuarantine, successClearsASuspect)
{
    quarantine.report(crashing, first, now);
    quarantine.report(harmless, first, now);
    quarantine.succeeded(harmless);
    CHECK(quarantine.report(crashing, second, now + 1s));
    CHECK(!quarantine.report(harmless, second, now + 1s));
    CHECK(quarantine.quarantined(now + 1s) == std::vector{crashing});
}

TEST(CrashQuarantine, releasesRequestsAfterTheQuarantineTime)
{
    quarantine.report(crashing, first, now);
    quarantine.report(crashing, second, now);
    CHECK_EQUAL(1, quarantine.quarantined(now + 599s).size());
    CHECK(quarantine.quarantined(now + 600s).empty());
    CHECK(!quarantine.report(crashing, first, now + 601s));
}

TEST(CrashQuarantine, appliesTheLaterReleaseOfAnotherNode)
{
    quarantine.quarantineUntil(crashing, now + 20s);
    quarantine.quarantineUntil(crashing, now + 10s);
    CHECK_EQUAL(1, quarantine.quarantined(now + 19s).size());
    CHECK(quarantine.quarantined(now + 20s).empty());
}

// Callers could otherwise fill the memory with made-up requests that crash targets.
TEST(CrashQuarantine, limitsTheNumberOfSuspects)
{
    quarantine.report(Digest::of("a"), first, now);
    quarantine.report(Digest::of("b"), first, now);
    quarantine.report(crashing, first, now);
    CHECK(!quarantine.report(crashing, second, now));
}
