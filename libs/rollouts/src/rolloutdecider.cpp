#include <hornbeam/rollouts/rolloutdecider.h>

#include <algorithm>
#include <array>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

/** Periods in which the versions are compared: the short ones find a version that turns bad after a good start. */
constexpr std::array<Duration, 2> periods{2500ms, 7s};

/**
 * New targets are slow for some seconds after their start. Their first results do not count for the comparison of
 * times, and until the end of the warm-up, only a larger factor counts. The first comparison cannot wait for that end:
 * at 5,000 requests a second, the 50th bad response comes after 1 s, and the withdrawal is due 5 s later.
 */
constexpr Duration coldStart = 1500ms;
constexpr Duration firstTimeComparison = 3s;
constexpr Duration warmUp = 4s;
constexpr double warmUpSlowFactor = 4;
constexpr int warmUpDivisor = 4; ///< The warm-up takes at most this part of a roll-out.

/** A node reports several times a second. */
constexpr Duration reportLifetime = 2s;

/** Results that are enough to trust a version, if as many are expected at all. */
constexpr double enoughResults = 20;

/** Part of the expected results that must have been seen; nodes count their shares in whole requests. */
constexpr double expectedPart = 0.25;

/** The plan gives a new version about this part of the canary share before the switch. */
constexpr double plannedPart = 0.46;

std::uint64_t requestsOf(const RouteOutcomes &outcomes)
{
    std::uint64_t sum = 0;
    for (const auto &[route, counts] : outcomes) {
        sum += counts.requests;
    }
    return sum;
}

std::chrono::milliseconds milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

RolloutDecider::RolloutDecider(RolloutOrder order, const RolloutLimits &limits, RolloutStep first, TimePoint now)
    : m_order(std::move(order))
    , m_limits(limits)
    , m_plan(limits, m_order.duration)
    , m_current(std::move(first))
    , m_started(now - m_current.elapsed)
    , m_takenAt(now)
{
}

std::optional<RolloutStep> RolloutDecider::next(const RolloutView &view, TimePoint now)
{
    if (m_current.isFinal()) {
        return std::nullopt;
    }
    const auto passed = elapsed(view, now);
    if (m_current.phase == RolloutPhase::Withdrawing) {
        return makeStep(RolloutPhase::RolledBack, 0, m_current.reason, passed);
    }
    if (auto reason = degradation(view, now)) {
        return makeStep(RolloutPhase::Withdrawing, 0, std::move(*reason), passed);
    }
    if (m_current.phase != RolloutPhase::Switch) {
        return canaryStep(view, now);
    }
    if (missingReports(view, now)) {
        return canaryStep(view, now);
    }
    if (now - m_takenAt < m_plan.switchLength()) {
        return std::nullopt;
    }
    return makeStep(RolloutPhase::Completed, 0, "the new version is as good as the stable one", passed);
}

void RolloutDecider::taken(const RolloutStep &step, TimePoint now)
{
    m_current = step;
    m_takenAt = now;
}

Duration RolloutDecider::elapsed(const RolloutView &view, TimePoint now) const
{
    return std::max<Duration>({now - m_started, view.elapsed, view.outcomes.longestElapsed()});
}

std::optional<RolloutStep> RolloutDecider::canaryStep(const RolloutView &view, TimePoint now) const
{
    const auto passed = elapsed(view, now);
    if (auto reason = missingReports(view, now)) {
        return stepIfChanged(makeStep(RolloutPhase::Canary, 0, std::move(*reason), passed));
    }
    const auto planned = m_plan.stageAt(passed);
    if (planned.phase != RolloutPhase::Switch) {
        return stepIfChanged(makeStep(planned.phase, planned.sharePerMille, "planned share", passed));
    }
    if (auto reason = missingEvidence(view, now)) {
        const auto last = m_plan.stageAt(m_plan.switchStart() - 1ms);
        return stepIfChanged(makeStep(last.phase, last.sharePerMille, std::move(*reason), passed));
    }
    return stepIfChanged(
        makeStep(RolloutPhase::Switch, planned.sharePerMille, "requests at the stable version end", passed));
}

std::optional<std::string> RolloutDecider::degradation(const RolloutView &view, TimePoint now)
{
    const auto all = view.outcomes.outcomes(m_order.version);
    if (requestsOf(all) == 0) {
        return std::nullopt;
    }
    if (!m_firstResult) {
        m_firstResult = now;
    }
    for (const auto period : periods) {
        const auto since = now - period;
        auto reason = findFailures(view.outcomes.outcomesSince(m_current.stableVersion, since),
                                   view.outcomes.outcomesSince(m_order.version, since));
        if (!reason && now >= *m_firstResult + firstTimeComparison) {
            const auto from = std::max(since, *m_firstResult + coldStart);
            VersionComparisonOptions options;
            options.slowFactor = from >= *m_firstResult + warmUp ? options.slowFactor : warmUpSlowFactor;
            reason = findDegradation(view.outcomes.outcomesSince(m_current.stableVersion, from),
                                     view.outcomes.outcomesSince(m_order.version, from),
                                     options);
        }
        const auto spread = view.outcomes.spreadSince(m_order.version, since);
        // Failures of one target among several are a fault of that target.
        const bool oneOfSeveral = spread.failing == 1 && spread.nodes > 2;
        if (reason && !oneOfSeveral) {
            return reason;
        }
    }
    return findFailures(view.outcomes.outcomes(m_current.stableVersion), all);
}

std::optional<std::string> RolloutDecider::missingReports(const RolloutView &view, TimePoint now) const
{
    const auto reporting = view.outcomes.nodesSince(now - reportLifetime);
    if (reporting * 2 >= view.liveNodes) {
        return std::nullopt;
    }
    return "most nodes do not report results";
}

std::optional<std::string> RolloutDecider::missingEvidence(const RolloutView &view, TimePoint /*now*/) const
{
    if (!view.hasFreshTargets) {
        return "no target of the new version";
    }
    // Nodes that were all restarted have lost their results, and a slow version is not noticed at once.
    const Duration observed = view.outcomes.longestElapsed();
    if (observed < std::min<Duration>(warmUp, m_order.duration / warmUpDivisor)) {
        return "the new version was not observed for long enough";
    }
    const auto fresh = static_cast<double>(requestsOf(view.outcomes.outcomes(m_order.version)));
    const auto stable = static_cast<double>(requestsOf(view.outcomes.outcomes(m_current.stableVersion)));
    const auto expected = (fresh + stable) * m_limits.canaryShare * plannedPart;
    if (fresh >= std::min(enoughResults, expected * expectedPart)) {
        return std::nullopt;
    }
    return "too few results of the new version";
}

RolloutStep RolloutDecider::makeStep(RolloutPhase phase,
                                     std::uint32_t share,
                                     std::string reason,
                                     Duration elapsed) const
{
    auto step = m_current;
    ++step.number;
    step.phase = phase;
    step.sharePerMille = share;
    step.reason = std::move(reason);
    step.elapsed = milliseconds(elapsed);
    return step;
}

std::optional<RolloutStep> RolloutDecider::stepIfChanged(RolloutStep step) const
{
    if (step.phase == m_current.phase && step.sharePerMille == m_current.sharePerMille
        && step.reason == m_current.reason) {
        return std::nullopt;
    }
    return step;
}

} // namespace Hornbeam
