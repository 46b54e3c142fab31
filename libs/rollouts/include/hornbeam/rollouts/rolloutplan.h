#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/rollouts/rolloutorder.h>
#include <hornbeam/rollouts/rolloutstep.h>

#include <compare>
#include <cstdint>

namespace Hornbeam {

/** Limits of the operators for roll-outs. */
struct RolloutLimits
{
    double canaryShare = 0.1; ///< Part of the requests from the order to its deadline that a bad version may get. 0..1.
    std::uint32_t canarySlack = 0; ///< Further requests that it may get, over all nodes.
    std::chrono::milliseconds rollbackTime{5000}; ///< Time in which a version is withdrawn after 50 bad responses.

    friend auto operator<=>(const RolloutLimits &, const RolloutLimits &) = default;
};

/** What the plan of a roll-out has for a point in time. */
struct PlannedStage
{
    RolloutPhase phase = RolloutPhase::Canary;
    std::uint32_t sharePerMille = 0;

    friend auto operator<=>(const PlannedStage &, const PlannedStage &) = default;
};

/**
 * Divides the time of a roll-out into stages. Load: a version that turns bad at any moment up to the deadline must not
 * have received more than the canary share of all requests. The share therefore stays below the canary share until
 * shortly before the deadline; what is left of the allowance is used by one short stage with all requests.
 */
class RolloutPlan
{
public:
    RolloutPlan(const RolloutLimits &limits, Duration duration);

    /** The stage at @p elapsed after the order. The Switch stage has no end: the decider ends it. */
    PlannedStage stageAt(Duration elapsed) const;

    /** Start of the Switch stage, relative to the order. */
    Duration switchStart() const
    {
        return m_switchStart;
    }

    /** Length of the Switch stage. */
    Duration switchLength() const
    {
        return m_switchLength;
    }

private:
    double m_canaryShare;
    Duration m_duration;
    Duration m_switchLength;
    Duration m_switchStart;
};

} // namespace Hornbeam
