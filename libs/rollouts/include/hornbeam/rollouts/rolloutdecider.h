#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/rollouts/fleetoutcomes.h>
#include <hornbeam/rollouts/rolloutplan.h>
#include <hornbeam/rollouts/versioncomparison.h>

#include <optional>
#include <string>

namespace Hornbeam {

/** What the decider of a roll-out sees at one moment. */
struct RolloutView
{
    const FleetOutcomes &outcomes;
    std::size_t liveNodes = 1; ///< Which are expected to report.
    bool hasFreshTargets = false; ///< Whether a target of the new version accepts requests.
    Duration elapsed{0}; ///< Lower bound of the time since the order.
};

/**
 * Decides the steps of one roll-out: shares by the plan, withdrawal when the new version is worse, the switch and the
 * completion. Load: a version that is bad from the start, from later on, on one route only or under full load, as
 * failures or slow responses; a decider that takes over in the middle; results that are lost with the nodes that
 * counted them; no requests at all; no targets of the new version yet; reports that do not arrive. Not thread-safe.
 */
class RolloutDecider
{
public:
    /** @p first: the step with which this decider has begun, number 1 or above; @p now: the time at first.elapsed. */
    RolloutDecider(RolloutOrder order, const RolloutLimits &limits, RolloutStep first, TimePoint now);

    /**
     * The step that should replace current(), if there is one. A Withdrawing step takes effect at once; each other step
     * only after it has been written to the store, because it may be wrong if another decider has taken over.
     */
    std::optional<RolloutStep> next(const RolloutView &view, TimePoint now);

    /** The step returned by next() is in effect from @p now on. */
    void taken(const RolloutStep &step, TimePoint now);

    const RolloutStep &current() const
    {
        return m_current;
    }

private:
    Duration elapsed(const RolloutView &view, TimePoint now) const;
    std::optional<std::string> degradation(const RolloutView &view, TimePoint now);
    std::optional<std::string> missingEvidence(const RolloutView &view, TimePoint now) const;
    std::optional<std::string> missingReports(const RolloutView &view, TimePoint now) const;
    RolloutStep makeStep(RolloutPhase phase, std::uint32_t share, std::string reason, Duration elapsed) const;
    std::optional<RolloutStep> stepIfChanged(RolloutStep step) const;
    std::optional<RolloutStep> canaryStep(const RolloutView &view, TimePoint now) const;

    const RolloutOrder m_order;
    const RolloutLimits m_limits;
    const RolloutPlan m_plan;
    RolloutStep m_current;
    TimePoint m_started; ///< When the order was given, as far as this decider knows.
    std::optional<TimePoint> m_firstResult; ///< When the first result of the new version was seen.
    TimePoint m_takenAt;
};

} // namespace Hornbeam
