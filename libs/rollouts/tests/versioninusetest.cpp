#include <hornbeam/rollouts/versioninuse.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

const RunningVersion v1{.service = "menu", .version = "v1", .firstInstance = 1, .serving = true};
const RunningVersion v2{.service = "menu", .version = "v2", .firstInstance = 2, .serving = true};
const RunningVersion v3{.service = "menu", .version = "v3", .firstInstance = 3, .serving = true};

} // namespace

TEST_GROUP(VersionInUse)
{
    VersionInUse inUse;
    TimePoint now = TimePoint(1h);
};

// Guards against a first choice that stays although targets of an older version are heard of a little later.
TEST(VersionInUse, isTheOldestOfTheVersionsThatAreKnownAfterSomeSeconds)
{
    inUse.setRunning({v2}, now);
    STRCMP_EQUAL("v2", inUse.version().c_str());
    CHECK_FALSE(inUse.isConfirmed());
    inUse.setRunning({v1, v2}, now + 2s);
    STRCMP_EQUAL("v1", inUse.version().c_str());
    CHECK(inUse.nextUpdate() == now + VersionInUse::settlingTime);
    inUse.update(now + VersionInUse::settlingTime);
    CHECK(inUse.isConfirmed());
    CHECK_FALSE(inUse.nextUpdate());
}

// Guards against a change of the version because its oldest targets restart.
TEST(VersionInUse, staysWhenItsTargetsRestart)
{
    inUse.setRunning({v1, v2}, now);
    inUse.update(now + VersionInUse::settlingTime);
    auto restarted = v1;
    restarted.firstInstance = 9;
    inUse.setRunning({restarted, v2}, now + 10s);
    STRCMP_EQUAL("v1", inUse.version().c_str());
}

// Guards against an ordered version that is used before its roll-out because only its targets are known.
TEST(VersionInUse, isNotTheOrderedOneWhileOthersMayNotBeKnown)
{
    inUse.setOrdered("v2", now);
    inUse.setRunning({v2}, now);
    STRCMP_EQUAL("", inUse.version().c_str());
    inUse.update(now + VersionInUse::settlingTime);
    STRCMP_EQUAL("v2", inUse.version().c_str());
    inUse.setRunning({v1, v2}, now + 10s);
    STRCMP_EQUAL("v1", inUse.version().c_str());
}

TEST(VersionInUse, isTheRecordedOne)
{
    inUse.setRecorded("v2", now);
    CHECK(inUse.isConfirmed());
    inUse.setRunning({v1, v2, v3}, now);
    STRCMP_EQUAL("v2", inUse.version().c_str());
}

// Guards against a version that replaces the one in use while the hosts of its targets restart.
TEST(VersionInUse, staysWhileItsTargetsAreNotKnown)
{
    inUse.setRunning({v1, v2}, now);
    inUse.setRunning({v2}, now + 10s);
    inUse.update(now + 10s + VersionInUse::absenceLimit - 1ms);
    STRCMP_EQUAL("v1", inUse.version().c_str());
    inUse.setRunning({v1, v2}, now + 30s);
    inUse.setRunning({v2}, now + 40s);
    STRCMP_EQUAL("v1", inUse.version().c_str());
    CHECK(inUse.nextUpdate() == now + 40s + VersionInUse::absenceLimit);
}

// Guards against a service without any version because the targets of the one in use have stopped for good.
TEST(VersionInUse, isTheOldestOtherOneWhenItsTargetsHaveStopped)
{
    inUse.setRecorded("v1", now);
    inUse.setRunning({v2, v3}, now);
    STRCMP_EQUAL("v1", inUse.version().c_str());
    inUse.update(now + VersionInUse::absenceLimit);
    STRCMP_EQUAL("v2", inUse.version().c_str());
    inUse.setRunning({v1, v2, v3}, now + 1min);
    STRCMP_EQUAL("v1", inUse.version().c_str());
}
