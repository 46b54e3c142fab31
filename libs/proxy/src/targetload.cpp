#include "targetload.h"

namespace Hornbeam {

namespace {

/** A new sample has the weight 1/64: the average covers more than a second of a busy target, the slowdowns less. */
constexpr double statedPercentWeight = 1.0 / 64;

} // namespace

void TargetLoad::applyStated(const StatedLoad &stated, TimePoint now)
{
    const auto atTarget = stated.running + stated.waiting;
    // Requests that a previous process of this node has sent, and those whose connection has broken, may still run.
    unaccounted = atTarget > outstanding ? atTarget - outstanding : 0;
    statedPercent += (stated.timePercent - statedPercent) * statedPercentWeight;
    slowdown = stated.timePercent / statedPercent;
    slowdownAt = now;
}

} // namespace Hornbeam
