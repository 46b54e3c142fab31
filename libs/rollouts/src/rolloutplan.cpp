#include <hornbeam/rollouts/rolloutplan.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Hornbeam {

namespace {

using Seconds = std::chrono::duration<double>;

struct Stage
{
    double end; ///< As a part of the roll-out's duration.
    double share; ///< As a part of the canary share.
};

// Together they use 0.46 of the allowance if the request rate is constant.
constexpr std::array stages{Stage{0.2, 0.2}, Stage{0.5, 0.4}, Stage{1.0, 0.6}};

/** Part of the allowance for the stage with all requests. The rest, 0.14, covers a rate that rises towards the end. */
constexpr double switchAllowance = 0.4;

constexpr std::chrono::milliseconds longestSwitch{1500};

/** Time for the write that completes the roll-out, which a slow store can delay. */
constexpr std::chrono::milliseconds longestCompletion{1200};
constexpr int completionDivisor = 10;

} // namespace

RolloutPlan::RolloutPlan(const RolloutLimits &limits, Duration duration)
    : m_canaryShare(limits.canaryShare)
    , m_duration(std::max(duration, Duration(std::chrono::milliseconds(1))))
    , m_switchLength(std::min<Duration>(
          longestSwitch, std::chrono::duration_cast<Duration>(Seconds(m_duration) * switchAllowance * m_canaryShare)))
    , m_switchStart(m_duration - m_switchLength - std::min<Duration>(longestCompletion, m_duration / completionDivisor))
{
}

PlannedStage RolloutPlan::stageAt(Duration elapsed) const
{
    if (elapsed >= m_switchStart) {
        return {.phase = RolloutPhase::Switch, .sharePerMille = 1000};
    }
    const auto part = Seconds(elapsed) / Seconds(m_duration);
    const auto *stage = std::find_if(stages.begin(), stages.end(), [&](const Stage &it) { return part < it.end; });
    return {.phase = RolloutPhase::Canary,
            .sharePerMille = static_cast<std::uint32_t>(std::lround(stage->share * m_canaryShare * 1000))};
}

} // namespace Hornbeam
