#include <hornbeam/base/metrics.h>
#include <hornbeam/dissemination/snapshotholder.h>

#include "testsnapshots.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(SnapshotHolder)
{
    MetricsRegistry metrics;
    SnapshotHolder config{metrics};
    int changes = 0;

    void setup() override
    {
        config.apply(makeSnapshot(5));
        config.subscribe([this](const SnapshotPtr &) { ++changes; });
    }

    std::uint64_t rejected(const char *reason)
    {
        return metrics.counter("hornbeam_config_rejected_total", "", {{.name = "reason", .value = reason}}).value();
    }
};

// Guards against a proxy that reverts to a configuration that is older than the one it has applied.
TEST(SnapshotHolder, rejectsOlderVersions)
{
    CHECK(config.apply(makeSnapshot(4)) == ApplyResult::Older);
    CHECK(config.apply(Delta::between(*makeSnapshot(3), *makeSnapshot(4))) == ApplyResult::Older);
    CHECK_EQUAL(5, config.current()->version());
    CHECK_EQUAL(2, rejected("older"));
    CHECK_EQUAL(0, changes);
}

// Guards against nodes that have different content under the same version.
TEST(SnapshotHolder, rejectsDifferentContentOfTheSameVersion)
{
    CHECK(config.apply(makeSnapshot(5, "b")) == ApplyResult::ConflictingContent);
    CHECK(config.apply(Delta::between(*makeSnapshot(4), *makeSnapshot(5, "b"))) == ApplyResult::ConflictingContent);
    CHECK(config.apply(makeSnapshot(5)) == ApplyResult::AlreadyCurrent);
    CHECK(config.current()->contentDigest() == makeSnapshot(5)->contentDigest());
    CHECK_EQUAL(2, rejected("conflict"));
    CHECK(!config.lastRejection().empty());
}

TEST(SnapshotHolder, appliesDeltasToTheirBaseOnly)
{
    CHECK(config.apply(Delta::between(*makeSnapshot(6), *makeSnapshot(7))) == ApplyResult::WrongBase);
    CHECK(config.apply(Delta::between(*makeSnapshot(5, "b"), *makeSnapshot(6))) == ApplyResult::WrongBase);
    CHECK(config.apply(Delta::between(*makeSnapshot(5), *makeSnapshot(6))) == ApplyResult::Applied);
    CHECK_EQUAL(6, config.current()->version());
    CHECK_EQUAL(1, changes);
}
