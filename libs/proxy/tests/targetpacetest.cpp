#include "targetpace.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

struct PacedLoad
{
    std::uint32_t slots = 8;
    Duration work = 110ms; ///< Time of a request at a mean target.
    Duration objective = 400ms;
    double requestsPerSecond = 60;
    Duration length = 12s;
    bool paced = true;
    std::function<double(Duration age)> slowdown = [](Duration) {
        return 1.0;
    };
    std::function<bool(Duration age)> refuses = [](Duration) {
        return false;
    };
    bool started = true; ///< The target has just started.
    bool knowsTypical = true; ///< Other targets of the service have shown how long a request takes.
    std::uint32_t crowd = 0; ///< Requests that arrive at once at the start, from nodes that have just learned of it.
};

struct Interval
{
    int arrived = 0;
    int offered = 0; ///< Requests that reached the target.
    int inTime = 0;
    int late = 0; ///< Answered after their objective.

    double inTimeShare() const
    {
        return arrived == 0 ? 1 : static_cast<double>(inTime) / arrived;
    }
};

/**
 * Plays requests at the node beside one target: it queues those that are expected to be in time, by the pace's expected
 * time, and refuses the others at once. Deterministic.
 */
class PacedTarget
{
public:
    explicit PacedTarget(PacedLoad load)
        : m_load(std::move(load))
    {
        if (m_load.paced && m_load.started) {
            m_pace.start(m_load.slots);
        }
        const Duration gap = std::chrono::duration_cast<Duration>(1s / m_load.requestsPerSecond);
        for (std::uint32_t i = 0; i < m_load.crowd; ++i) {
            at(0s, [this] { arrive(); });
        }
        for (Duration time = gap; time < m_load.length; time += gap) {
            at(time, [this] { arrive(); });
        }
        while (!m_events.empty()) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
    }

    /** The requests that arrived in [@p from, @p to). */
    Interval between(Duration from, Duration to) const
    {
        Interval sum;
        for (auto it = m_seconds.lower_bound(from); it != m_seconds.lower_bound(to); ++it) {
            sum.arrived += it->second.arrived;
            sum.offered += it->second.offered;
            sum.inTime += it->second.inTime;
            sum.late += it->second.late;
        }
        return sum;
    }

private:
    void at(Duration time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }

    TimePoint now() const
    {
        return TimePoint(1h) + m_now;
    }

    Duration typical() const
    {
        return m_load.knowsTypical ? m_load.work : Duration::zero();
    }

    void arrive()
    {
        ++m_seconds[m_now].arrived;
        const auto each = m_load.paced ? m_pace.expectedTime(m_load.work) : m_load.work;
        const auto limit = m_load.paced ? std::max(m_pace.limit(m_load.slots, now()), 1U) : m_load.slots;
        const auto ahead = m_running + m_queue.size();
        const auto wait = ahead < limit ? Duration::zero() : each * static_cast<int>(ahead + 1 - limit) / limit;
        if (wait + each <= m_load.objective) {
            m_queue.push_back(m_now);
            startQueued();
        }
    }

    void startQueued()
    {
        const auto limit = m_load.paced ? m_pace.limit(m_load.slots, now()) : m_load.slots;
        while (!m_queue.empty() && m_running < limit) {
            const auto arrived = m_queue.front();
            m_queue.pop_front();
            run(arrived);
        }
        if (!m_queue.empty() && limit == 0) {
            at(m_pace.pausedUntil() - TimePoint(1h), [this] { startQueued(); });
        }
    }

    void run(Duration arrived)
    {
        ++m_running;
        ++m_seconds[arrived].offered;
        const bool refused = m_load.refuses(m_now);
        const auto started = m_now;
        const auto time = refused
            ? Duration(1ms)
            : std::chrono::duration_cast<Duration>(Milliseconds(m_load.work) * m_load.slowdown(m_now));
        at(m_now + time, [this, arrived, started, refused] {
            --m_running;
            m_pace.record(
                refused ? PaceOutcome::Refused : PaceOutcome::Success, m_now - started, typical(), m_load.slots, now());
            if (!refused) {
                auto &second = m_seconds[arrived];
                ++(m_now - arrived <= m_load.objective ? second.inTime : second.late);
            }
            startQueued();
        });
    }

    PacedLoad m_load;
    TargetPace m_pace{{}};
    Duration m_now = Duration::zero();
    std::multimap<Duration, std::function<void()>> m_events;
    std::map<Duration, Interval> m_seconds; ///< By time of arrival.
    std::deque<Duration> m_queue;
    std::uint32_t m_running = 0;
};

/** Twice as slow for the first 3 s, as many servers are that fill their caches. */
double coldStart(Duration age)
{
    return age < 3s ? 2.0 : 1.0;
}

std::string describe(const Interval &it)
{
    return std::to_string(it.arrived) + " arrived, " + std::to_string(it.offered) + " offered, "
        + std::to_string(it.inTime) + " in time, " + std::to_string(it.late) + " late";
}

} // namespace

/** Load: one target with its node, at about its fair share, with the crowd that a new target attracts. */
TEST_GROUP(TargetPace){};

// Guards against the flood of a new target: requests that are accepted as if it were warm are answered late.
TEST(TargetPace, answersInTimeDuringAColdStart)
{
    const PacedLoad load{.requestsPerSecond = 34, .slowdown = coldStart, .crowd = 60};
    const auto paced = PacedTarget(load).between(0s, 3s);
    CHECK_TEXT(paced.late <= paced.offered / 20, describe(paced).c_str());
    auto unpaced = load;
    unpaced.paced = false;
    const auto flooded = PacedTarget(unpaced).between(0s, 3s);
    CHECK_TEXT(flooded.late > flooded.offered / 20, describe(flooded).c_str());
}

// Guards against a target that stays idle after it could work: within a second, it carries its fair share.
TEST(TargetPace, carriesItsShareWithinASecond)
{
    for (const bool knowsTypical : {true, false}) {
        // Without a reference all targets of the service have started together.
        const auto it = PacedTarget({.requestsPerSecond = 60, .knowsTypical = knowsTypical}).between(1s, 3s);
        CHECK_TEXT(it.inTimeShare() >= 0.99, describe(it).c_str());
    }
    const auto cold = PacedTarget({.requestsPerSecond = 30, .slowdown = coldStart}).between(1s, 3s);
    CHECK_TEXT(cold.inTimeShare() >= 0.99, describe(cold).c_str());
}

// Guards against a comparison with other targets that holds back a host which is slow for good.
TEST(TargetPace, doesNotHoldBackASlowTarget)
{
    const auto slow = [](Duration) {
        return 1.5;
    };
    const auto fast = [](Duration) {
        return 0.5;
    };
    const auto a = PacedTarget({.requestsPerSecond = 40, .slowdown = slow}).between(1s, 10s);
    CHECK_TEXT(a.inTimeShare() >= 0.99, describe(a).c_str());
    const auto b = PacedTarget({.requestsPerSecond = 120, .slowdown = fast}).between(1s, 10s);
    CHECK_TEXT(b.inTimeShare() >= 0.99, describe(b).c_str());
}

// Guards against thousands of requests offered to a target that refuses all of them for 8 s, and against leaving it
// idle afterwards.
TEST(TargetPace, probesATargetThatRefusesEverythingAndReturnsQuickly)
{
    const PacedLoad load{.requestsPerSecond = 60,
                         .length = 15s,
                         .refuses = [](Duration age) { return age >= 2s && age < 10s; },
                         .started = false};
    const PacedTarget target(load);
    const auto refused = target.between(2s, 10s);
    CHECK_TEXT(refused.offered <= 60, describe(refused).c_str());
    const auto after = target.between(11s, 15s);
    CHECK_TEXT(after.inTimeShare() >= 0.99, describe(after).c_str());
    auto unpaced = load;
    unpaced.paced = false;
    const auto flooded = PacedTarget(unpaced).between(2s, 10s);
    CHECK_TEXT(flooded.offered >= 400, describe(flooded).c_str());
}

// Guards against a limit that follows single refusals, which a target in order sends as well.
TEST(TargetPace, ignoresSingleRefusals)
{
    TargetPace pace({});
    const TimePoint now{1h};
    for (int i = 0; i < 50; ++i) {
        pace.record(PaceOutcome::Refused, 1ms, 100ms, 8, now);
        pace.record(PaceOutcome::Failed, 1ms, 100ms, 8, now);
        pace.record(PaceOutcome::Success, 100ms, 100ms, 8, now);
    }
    CHECK(!pace.isLimiting());
    CHECK_EQUAL(8U, pace.limit(8, now));
}

// Guards against a recovery that ends while the target can run only part of its slots, for example because requests
// of an earlier process of the node still run there.
TEST(TargetPace, halvesTheLimitWhenTheTargetRefuses)
{
    TargetPace pace({});
    const TimePoint now{1h};
    pace.start(12);
    CHECK_EQUAL(3U, pace.limit(12, now));
    for (int i = 0; i < 3; ++i) {
        pace.record(PaceOutcome::Success, 100ms, 100ms, 12, now);
    }
    CHECK_EQUAL(6U, pace.limit(12, now));
    pace.record(PaceOutcome::Refused, 1ms, 100ms, 12, now);
    CHECK_EQUAL(3U, pace.limit(12, now));
    CHECK(pace.isLimiting());
}

// Guards against a limit that doubles although the target answers more slowly the more it runs.
TEST(TargetPace, growsByOneWhileResponsesBecomeSlower)
{
    TargetPace pace({});
    const TimePoint now{1h};
    pace.start(16);
    for (int i = 0; i < 4; ++i) {
        pace.record(PaceOutcome::Success, 100ms, 100ms, 16, now);
    }
    CHECK_EQUAL(8U, pace.limit(16, now));
    for (int i = 0; i < 8; ++i) {
        pace.record(PaceOutcome::Success, 200ms, 100ms, 16, now);
    }
    CHECK_EQUAL(9U, pace.limit(16, now));
}

// Guards against a single target that nobody can replace being paused for longer than its longest pause.
TEST(TargetPace, boundsThePauseBetweenProbes)
{
    TargetPace pace({});
    const TimePoint now{1h};
    pace.start(1);
    for (int i = 0; i < 100; ++i) {
        pace.record(PaceOutcome::Refused, 1ms, 100ms, 1, now);
    }
    CHECK_EQUAL(0U, pace.limit(1, now));
    CHECK_EQUAL(1U, pace.limit(1, now + 400ms));
}
