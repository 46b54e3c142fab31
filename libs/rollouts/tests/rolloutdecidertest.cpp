#include <hornbeam/rollouts/rolloutdecider.h>

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr auto tick = 100ms;

/** Plays one roll-out of 15 s with four nodes of the stable and four of the new version. */
class Play
{
public:
    std::function<double(Duration at, std::uint32_t share, const std::string &route)> failureRate =
        [](Duration, std::uint32_t, const std::string &) {
            return 0.0;
        };
    double slowness = 1; ///< Of the new version's responses.
    double stableFailureRate = 0;
    int requestsPerSecond = 1000;
    bool freshTargets = true;
    Duration reportsUntil = 1h;
    Duration end = 15s;
    Duration start{0};
    Duration countedSince{0}; ///< Start of the processes that report.

    void run()
    {
        RolloutDecider decider({.service = "menu", .version = "v2", .duration = 15s, .revision = 3},
                               {.canaryShare = 0.1, .canarySlack = 50},
                               {.service = "menu",
                                .order = 3,
                                .fence = 1,
                                .number = 1,
                                .stableVersion = "v1",
                                .version = "v2",
                                .elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(start),
                                .reason = {}},
                               TimePoint(start));
        for (Duration at = start; at < end && !decider.current().isFinal(); at += tick) {
            const auto share = decider.current().sharePerMille;
            serve(at, share);
            if (at < reportsUntil) {
                report(TimePoint(at));
            }
            const RolloutView view{.outcomes = m_outcomes, .liveNodes = 8, .hasFreshTargets = freshTargets};
            const auto next = decider.next(view, TimePoint(at));
            if (next) {
                decider.taken(*next, TimePoint(at));
                last = at;
                ++steps;
            }
        }
        phase = decider.current().phase;
        reason = decider.current().reason;
        share = decider.current().sharePerMille;
    }

    RolloutPhase phase = RolloutPhase::Canary;
    std::string reason;
    std::uint32_t share = 0;
    Duration last{0}; ///< Time of the last step.
    int steps = 0;
    double fresh = 0; ///< Requests that the new version received.
    double badResponses = 0;

private:
    void serve(Duration at, std::uint32_t share)
    {
        const double perNode = requestsPerSecond * 0.1 / 8;
        const double part = freshTargets ? share / 1000.0 : 0;
        for (const auto &[route, weight] : {std::pair("browse", 0.9), std::pair("order", 0.1)}) {
            const auto rate = failureRate(at, share, route);
            for (int node = 0; node < 4; ++node) {
                add("fresh" + std::to_string(node), "v2", route, 2 * perNode * part * weight, rate, slowness);
                add("stable" + std::to_string(node),
                    "v1",
                    route,
                    2 * perNode * (1 - part) * weight,
                    stableFailureRate,
                    1);
            }
            fresh += 8 * perNode * part * weight;
            badResponses += 8 * perNode * part * weight * rate;
        }
    }

    void add(const std::string &node,
             const std::string &version,
             const std::string &route,
             double requests,
             double rate,
             double factor)
    {
        auto &sums = m_sums[node][route];
        sums[0] += requests;
        sums[1] += requests * rate;
        sums[2] += requests * factor * 100;
        auto &counts = m_reports[node].versions[version][route];
        counts = {.requests = static_cast<std::uint64_t>(sums[0]),
                  .failures = static_cast<std::uint64_t>(sums[1]),
                  .totalTime = std::chrono::milliseconds(static_cast<int>(sums[2]))};
    }

    void report(TimePoint now)
    {
        for (auto &[node, report] : m_reports) {
            report.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - TimePoint(countedSince));
            m_outcomes.add(node, report, now);
        }
    }

    std::map<std::string, std::map<std::string, std::array<double, 3>>> m_sums;
    std::map<std::string, OutcomeReport> m_reports;
    FleetOutcomes m_outcomes;
};

} // namespace

TEST_GROUP(RolloutDecider)
{
    Play play;

    void checkRolledBack()
    {
        CHECK(play.phase == RolloutPhase::RolledBack);
        CHECK(play.fresh <= 0.1 * 15 * play.requestsPerSecond + 50);
    }
};

TEST(RolloutDecider, completesAGoodVersionBeforeTheDeadline)
{
    play.run();
    CHECK(play.phase == RolloutPhase::Completed);
    CHECK(play.last < 15s);
    CHECK(play.fresh <= 0.1 * 15 * 1000);
}

TEST(RolloutDecider, rollsBackAVersionThatFailsFromTheStart)
{
    play.failureRate = [](Duration, std::uint32_t, const std::string &) {
        return 0.5;
    };
    play.run();
    checkRolledBack();
    CHECK(play.last < 4s);
}

// Guards against early successes that hide failures that begin later.
TEST(RolloutDecider, rollsBackAVersionThatFailsLater)
{
    play.failureRate = [](Duration at, std::uint32_t, const std::string &) {
        return at >= 11s ? 0.5 : 0.0;
    };
    play.run();
    checkRolledBack();
    CHECK(play.last < 13s);
}

TEST(RolloutDecider, rollsBackAVersionThatFailsOnOneRoute)
{
    play.failureRate = [](Duration, std::uint32_t, const std::string &route) {
        return route == "order" ? 0.5 : 0.0;
    };
    play.run();
    checkRolledBack();
}

// Guards against a completion when failures appear only with the load of all requests, in the short last stage.
TEST(RolloutDecider, rollsBackAVersionThatFailsUnderFullLoad)
{
    play.failureRate = [](Duration, std::uint32_t share, const std::string &) {
        return share == 1000 ? 0.5 : 0.0;
    };
    play.run();
    checkRolledBack();
}

TEST(RolloutDecider, rollsBackASlowVersion)
{
    play.slowness = 8;
    play.run();
    checkRolledBack();
    CHECK(play.last < 9s);
}

// Guards against a comparison of times that begins too late for the limit on the withdrawal when there are many
// requests.
TEST(RolloutDecider, rollsBackASlowVersionOfABusyServiceInTime)
{
    play.slowness = 4.5;
    play.requestsPerSecond = 5000;
    play.run();
    checkRolledBack();
    CHECK(play.last < 5s);
}

// Guards against a roll-back of a good version because its targets have just started.
TEST(RolloutDecider, acceptsTargetsThatWarmUp)
{
    play.slowness = 2.5;
    play.run();
    CHECK(play.phase == RolloutPhase::Completed);
}

// Guards against a roll-back of a good version while the service is overloaded.
TEST(RolloutDecider, completesUnderGeneralOverload)
{
    play.stableFailureRate = 0.4;
    play.failureRate = [](Duration, std::uint32_t, const std::string &) {
        return 0.4;
    };
    play.run();
    CHECK(play.phase == RolloutPhase::Completed);
}

// Guards against a roll-out that waits forever for results that cannot come.
TEST(RolloutDecider, completesWithoutAnyTraffic)
{
    play.requestsPerSecond = 0;
    play.run();
    CHECK(play.phase == RolloutPhase::Completed);
}

// Guards against a completion without targets: the old ones stop at that moment.
TEST(RolloutDecider, waitsForTargetsOfTheNewVersion)
{
    play.freshTargets = false;
    play.end = 30s;
    play.run();
    CHECK(play.phase == RolloutPhase::Canary);
    STRCMP_EQUAL("no target of the new version", play.reason.c_str());
}

// Guards against a decider that goes on blindly while it is cut off from the nodes.
TEST(RolloutDecider, sendsNothingToTheNewVersionWithoutReports)
{
    play.reportsUntil = 6s;
    play.run();
    CHECK(play.phase == RolloutPhase::Canary);
    CHECK_EQUAL(0U, play.share);
    CHECK(play.last < 9s);
}

// Guards against a decider that takes over after the deadline and completes without having seen the new version.
TEST(RolloutDecider, looksAtTheNewVersionAfterTheDeadline)
{
    play.start = 16s;
    play.end = 30s;
    play.failureRate = [](Duration, std::uint32_t, const std::string &) {
        return 0.5;
    };
    play.run();
    CHECK(play.phase == RolloutPhase::RolledBack);
}

// Guards against a completion right after a long outage, before slow responses of the new version can be noticed.
TEST(RolloutDecider, observesASlowVersionAfterARestartAtTheDeadline)
{
    play.slowness = 8;
    play.start = 15s;
    play.countedSince = 15s;
    play.end = 30s;
    play.run();
    CHECK(play.phase == RolloutPhase::RolledBack);
}
