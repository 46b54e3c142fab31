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
    std::uint64_t lastEvent = 0;

    /** Reports a crash that was not reported before. */
    bool report(const Digest &request, const Endpoint &target, TimePoint at)
    {
        return quarantine.report({.request = request, .target = target, .event = ++lastEvent}, at);
    }
};

// A request that crashes its target must be stopped before its repetitions crash further targets.
TEST(CrashQuarantine, quarantinesAfterCrashesOfTwoTargets)
{
    CHECK(!report(crashing, first, now));
    CHECK(quarantine.quarantined(now).empty());
    CHECK(report(crashing, second, now + 29s));
    CHECK(quarantine.quarantined(now + 29s) == std::vector{crashing});
}

// A faulty target that crashes on every request must not get those requests quarantined.
TEST(CrashQuarantine, needsTwoDifferentTargets)
{
    report(crashing, first, now);
    CHECK(!report(crashing, first, now + 1s));
    CHECK(quarantine.quarantined(now + 1s).empty());
}

// A request that meets the same target each time, because it is the only one or the one on the caller's host, must not
// crash it without end.
TEST(CrashQuarantine, quarantinesAfterThreeCrashesOfOneTarget)
{
    report(crashing, first, now);
    report(crashing, first, now + 1s);
    CHECK(report(crashing, first, now + 2s));
    CHECK_EQUAL(1, quarantine.quarantined(now + 2s).size());
}

// A target that crashes by itself must not get a request quarantined that succeeds on it in between.
TEST(CrashQuarantine, successRestartsTheCountOfOneTarget)
{
    report(harmless, first, now);
    report(harmless, first, now + 1s);
    quarantine.succeeded(harmless);
    CHECK(!report(harmless, first, now + 2s));
    CHECK(!report(harmless, first, now + 3s));
}

// A request that comes again once a minute must not crash a target each time.
TEST(CrashQuarantine, remembersCrashesForMinutes)
{
    CrashQuarantine lasting{{}};
    lasting.report({.request = crashing, .target = first, .event = 1}, now);
    CHECK(lasting.report({.request = crashing, .target = second, .event = 2}, now + 9min));
}

TEST(CrashQuarantine, ignoresCrashesOutsideTheWindow)
{
    report(crashing, first, now);
    CHECK(!report(crashing, second, now + 30s));
}

// A request that was merely in flight on a crashing target must not be quarantined after a later crash of another one.
TEST(CrashQuarantine, successClearsASuspect)
{
    report(crashing, first, now);
    report(harmless, first, now);
    quarantine.succeeded(harmless);
    CHECK(report(crashing, second, now + 1s));
    CHECK(!report(harmless, second, now + 1s));
    CHECK(quarantine.quarantined(now + 1s) == std::vector{crashing});
}

TEST(CrashQuarantine, releasesRequestsAfterTheQuarantineTime)
{
    report(crashing, first, now);
    report(crashing, second, now);
    CHECK_EQUAL(1, quarantine.quarantined(now + 599s).size());
    CHECK(quarantine.quarantined(now + 600s).empty());
    CHECK(!report(crashing, first, now + 601s));
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
    report(Digest::of("a"), first, now);
    report(Digest::of("b"), first, now);
    report(crashing, first, now);
    CHECK(!report(crashing, second, now));
}

// A page that was running at two targets when they crashed for other reasons must not be refused, although it succeeded
// between the crashes only on nodes other than the one that decides.
TEST(CrashQuarantine, refutationOfAnotherNodeClearsASuspect)
{
    const CrashReport crash{.request = harmless, .target = first, .event = 70};
    CHECK(!quarantine.report(crash, now));
    quarantine.refute(crash, now + 1s);
    CHECK(quarantine.suspects(now + 1s).empty());
    CHECK(!report(harmless, second, now + 2s));
    CHECK(quarantine.quarantined(now + 2s).empty());
}

// Gossip can deliver the refutation of a crash before the report.
TEST(CrashQuarantine, ignoresAReportThatIsAlreadyRefuted)
{
    const CrashReport crash{.request = harmless, .target = first, .event = 70};
    quarantine.refute(crash, now);
    CHECK(!quarantine.report(crash, now));
    CHECK(!report(harmless, second, now + 1s));
    CHECK_EQUAL(1, quarantine.suspects(now + 1s).front().targets.size());
}

// A success refutes the crashes before it, not those after it.
TEST(CrashQuarantine, countsCrashesAfterASuccess)
{
    report(crashing, first, now);
    CHECK_EQUAL(1, quarantine.succeeded(crashing).size());
    CHECK(quarantine.succeeded(crashing).empty());
    CHECK(!report(crashing, second, now + 1s));
    CHECK(report(crashing, first, now + 2s));
}

// A page that is running at many targets when two of them crash at the same moment must not be refused for minutes:
// those of its requests that are already running succeed.
TEST(CrashQuarantine, refutationEndsAQuarantineThatIsNotJustified)
{
    const CrashReport crash{.request = harmless, .target = first, .event = 70};
    quarantine.report(crash, now);
    CHECK(report(harmless, second, now));
    CHECK_EQUAL(1, quarantine.quarantined(now).size());
    quarantine.refute(crash, now + 1s);
    CHECK(quarantine.quarantined(now + 1s).empty());
}

// A copy of a report must not count as a second crash.
TEST(CrashQuarantine, countsACrashOnce)
{
    const CrashReport crash{.request = crashing, .target = first, .event = 70};
    quarantine.report(crash, now);
    quarantine.report(crash, now);
    CHECK_EQUAL(1, quarantine.suspects(now).front().targets.size());
}
