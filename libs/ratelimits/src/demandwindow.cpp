#include "demandwindow.h"

#include <algorithm>
#include <numeric>

namespace Hornbeam {

void DemandWindow::add(double events, TimePoint now)
{
    moveTo(now);
    m_bins[static_cast<std::size_t>(m_newest) % binCount] += events;
}

double DemandWindow::ratePerSecond(TimePoint now)
{
    moveTo(now);
    const double sum = std::accumulate(m_bins.begin(), m_bins.end(), 0.0);
    return sum / std::chrono::duration<double>(length).count();
}

void DemandWindow::moveTo(TimePoint now)
{
    const auto current = static_cast<std::int64_t>(now.time_since_epoch() / binLength);
    if (current - m_newest >= static_cast<std::int64_t>(binCount)) {
        m_bins.fill(0);
        m_newest = current;
    }
    while (m_newest < current) {
        ++m_newest;
        m_bins[static_cast<std::size_t>(m_newest) % binCount] = 0;
    }
}

} // namespace Hornbeam
