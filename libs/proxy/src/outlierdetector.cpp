#include "outlierdetector.h"

#include <algorithm>

namespace Hornbeam {

OutlierDetector::OutlierDetector(OutlierDetectorOptions options)
    : m_options(options)
{
}

void OutlierDetector::recordSuccess(TargetLoad &load, TimePoint now) const
{
    load.consecutiveFailures = 0;
    // A response to a request sent before the ejection does not prove that the target has recovered.
    if (!load.isEjected(now)) {
        load.ejections = 0;
    }
}

bool OutlierDetector::recordFailure(TargetLoad &load, std::span<const TargetLoadPtr> targets, TimePoint now) const
{
    ++load.consecutiveFailures;
    if (load.consecutiveFailures < m_options.failureThreshold || load.isEjected(now)) {
        return false;
    }
    const auto ejected =
        std::count_if(targets.begin(), targets.end(), [now](const auto &it) { return it->isEjected(now); });
    if ((static_cast<std::size_t>(ejected) + 1) * 2 > targets.size()) {
        return false;
    }
    constexpr std::uint32_t maxDoublings = 16;
    const auto factor = 1U << std::min(load.ejections, maxDoublings);
    load.ejectedUntil = now + std::min<Duration>(m_options.baseEjectionTime * factor, m_options.maxEjectionTime);
    ++load.ejections;
    load.consecutiveFailures = 0;
    return true;
}

} // namespace Hornbeam
