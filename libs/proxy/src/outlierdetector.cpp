#include "outlierdetector.h"

#include <algorithm>

namespace Hornbeam {

OutlierDetector::OutlierDetector(OutlierDetectorOptions options)
    : m_options(options)
{
}

void OutlierDetector::succeeded(TargetLoad &load, TimePoint now) const
{
    load.consecutiveFailures = 0;
    // A response that was under way at the ejection does not prove that the target has recovered.
    if (!load.isEjected(now)) {
        load.ejections = 0;
    }
}

bool OutlierDetector::failed(TargetLoad &load, std::span<const TargetLoadPtr> service, TimePoint now) const
{
    ++load.consecutiveFailures;
    if (load.consecutiveFailures < m_options.failures || load.isEjected(now)) {
        return false;
    }
    const auto ejected =
        std::count_if(service.begin(), service.end(), [now](const auto &it) { return it->isEjected(now); });
    if ((static_cast<std::size_t>(ejected) + 1) * 2 > service.size()) {
        return false;
    }
    constexpr std::uint32_t maxDoublings = 16;
    const auto factor = 1U << std::min(load.ejections, maxDoublings);
    load.ejectedUntil = now + std::min<Duration>(m_options.firstEjection * factor, m_options.longestEjection);
    ++load.ejections;
    load.consecutiveFailures = 0;
    return true;
}

} // namespace Hornbeam
