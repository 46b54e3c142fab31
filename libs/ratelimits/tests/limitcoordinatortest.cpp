#include <hornbeam/ratelimits/limitcoordinator.h>

#include <map>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

using namespace std::chrono_literals;

const AccountLimit limit{.name = "shop", .ratePerSecond = 100, .burst = 100};

} // namespace

TEST_GROUP(LimitCoordinator)
{
    void setup() override
    {
        coordinator.setLimits({limit}, now);
        coordinator.setZones({"north"}, now);
    }

    /** Reports @p requests that were asked and admitted since the last report of @p node. */
    std::optional<LimitStatus> report(const std::string &node, std::uint64_t requests)
    {
        return report(node, requests, requests);
    }

    std::optional<LimitStatus> report(const std::string &node, std::uint64_t asked, std::uint64_t admitted)
    {
        auto &it = reports[node];
        ++it.sequence;
        it.session = 2;
        if (it.entries.empty()) {
            it.entries.push_back({.account = accountKey(limit.name), .counts = {}});
        }
        it.entries.back().counts.asked += asked;
        it.entries.back().counts.admitted += admitted;
        return coordinator.receiveReport(node, it, now);
    }

    double shareAfter(std::uint64_t requests)
    {
        const auto status = report("a", requests);
        CHECK(status.has_value());
        return status->entries.empty() ? 1 : status->entries.front().share;
    }

    /** Lets time pass with few requests, so that the bucket is full. */
    void fillBucket()
    {
        for (int i = 0; i < 20; ++i) {
            report("a", 1);
            now += 200ms;
        }
    }

    TimePoint now = TimePoint() + 1h;
    LimitCoordinator coordinator{"north"};
    std::map<std::string, LimitReport> reports;
};

TEST(LimitCoordinator, limitsAnAccountOnlyWhenItsBurstEnds)
{
    fillBucket();
    double share = 1;
    int periods = 0;
    while (share == 1 && periods < 20) {
        share = shareAfter(100); // Five times the rate.
        now += 200ms;
        ++periods;
    }
    CHECK(periods >= 1 && periods <= 4);
}

TEST(LimitCoordinator, repeatedReportsAreCountedOnce)
{
    // A datagram can arrive twice or after a later one.
    fillBucket();
    report("a", 30);
    const auto before = coordinator.makeSyncs(now).front().entries.front().spent;
    CHECK_FALSE(coordinator.receiveReport("a", reports["a"], now).has_value());
    now += 200ms;
    report("a", 10);
    const auto after = coordinator.makeSyncs(now).front().entries.front().spent;
    CHECK_EQUAL(before + 10, after);
}

TEST(LimitCoordinator, returnedTokensAreNotSpent)
{
    fillBucket();
    auto &it = reports["a"];
    for (int i = 0; i < 20; ++i) {
        ++it.sequence;
        it.entries.back().counts.asked += 40;
        it.entries.back().counts.admitted += 40;
        it.entries.back().counts.returned += 25;
        const auto status = coordinator.receiveReport("a", it, now);
        CHECK(status && status->entries.empty());
        now += 200ms;
    }
}

TEST(LimitCoordinator, silentZoneKeepsItsPart)
{
    fillBucket();
    coordinator.setZones({"north", "south"}, now);
    LimitSync sync{.active = true, .complete = true, .ageMilliseconds = 3600000, .zone = "south", .entries = {}};
    for (int i = 0; i < 100; ++i) {
        sync.sequence = static_cast<std::uint32_t>(i + 1);
        sync.entries = {{.account = accountKey(limit.name), .spent = std::int64_t{10} * i, .demand = 50, .level = 100}};
        coordinator.receiveSync("other", sync, now);
        report("a", 10);
        now += 200ms;
    }
    CHECK_EQUAL(0U, coordinator.silentZones());
    // The other zone has half of the demand, so this zone keeps half of the limit.
    double share = 1;
    for (int i = 0; i < 50; ++i) {
        const auto status = report("a", 20, static_cast<std::uint64_t>(20 * share));
        CHECK(status.has_value());
        share = status->entries.empty() ? 1 : status->entries.front().share;
        now += 200ms;
    }
    CHECK_EQUAL(1U, coordinator.silentZones());
    DOUBLES_EQUAL(0.5, share, 0.1);
}

TEST(LimitCoordinator, nodeThatIsNotActiveSendsNoCounts)
{
    const auto syncs = coordinator.makeSyncs(now);
    CHECK_EQUAL(1U, syncs.size());
    CHECK_FALSE(syncs.front().active);
    CHECK(syncs.front().entries.empty());
}
