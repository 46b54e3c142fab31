#include <hornbeam/proxy/crashquarantine.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(CrashQuarantine)
{
    const TimePoint now{1h};
    const Digest culprit = Digest::of("culprit");
    const Digest innocent = Digest::of("innocent");
    const Endpoint first{"10.0.0.1", 80};
    const Endpoint second{"10.0.0.2", 80};
    CrashQuarantine quarantine{{.window = 30s, .quarantine = 600s, .maxSuspects = 2}};
};

// Guards against one request that crashes target after target.
TEST(CrashQuarantine, quarantinesAfterCrashesOfTwoTargets)
{
    CHECK(!quarantine.report(culprit, first, now));
    CHECK(quarantine.quarantined(now).empty());
    CHECK(quarantine.report(culprit, second, now + 29s));
    CHECK(quarantine.quarantined(now + 29s) == std::vector{culprit});
}

// Guards against a quarantine for one faulty target that crashes at every request.
TEST(CrashQuarantine, needsTwoDifferentTargets)
{
    quarantine.report(culprit, first, now);
    CHECK(!quarantine.report(culprit, first, now + 1s));
    CHECK(quarantine.quarantined(now + 1s).empty());
}

TEST(CrashQuarantine, forgetsCrashesAfterTheWindow)
{
    quarantine.report(culprit, first, now);
    CHECK(!quarantine.report(culprit, second, now + 30s));
}

// Guards against blaming requests for good that were merely in flight on a crashed target.
TEST(CrashQuarantine, successClearsASuspect)
{
    quarantine.report(culprit, first, now);
    quarantine.report(innocent, first, now);
    quarantine.succeeded(innocent);
    CHECK(quarantine.report(culprit, second, now + 1s));
    CHECK(!quarantine.report(innocent, second, now + 1s));
    CHECK(quarantine.quarantined(now + 1s) == std::vector{culprit});
}

TEST(CrashQuarantine, releasesAfterATime)
{
    quarantine.report(culprit, first, now);
    quarantine.report(culprit, second, now);
    CHECK_EQUAL(1, quarantine.quarantined(now + 599s).size());
    CHECK(quarantine.quarantined(now + 600s).empty());
    CHECK(!quarantine.report(culprit, first, now + 601s));
}

TEST(CrashQuarantine, adoptsWhatOtherNodesReport)
{
    quarantine.adopt(culprit, now + 20s);
    quarantine.adopt(culprit, now + 10s);
    CHECK_EQUAL(1, quarantine.quarantined(now + 19s).size());
    CHECK(quarantine.quarantined(now + 20s).empty());
}

// Guards against a memory that callers can fill with invented requests.
TEST(CrashQuarantine, boundsItsMemory)
{
    quarantine.report(Digest::of("a"), first, now);
    quarantine.report(Digest::of("b"), first, now);
    quarantine.report(culprit, first, now);
    CHECK(!quarantine.report(culprit, second, now));
}
