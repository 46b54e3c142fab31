#include "routetimes.h"

namespace Hornbeam {

namespace {

/** A new sample has the weight 1/16, so the mean follows a change within some tens of requests. */
constexpr int smoothingDivisor = 16;

/** Limits the memory use. When there are more routes, all means are cleared. */
constexpr std::size_t maxRoutes = 10000;

} // namespace

void RouteTimes::note(const std::string &route, Duration time)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_means.find(route);
    if (it != m_means.end()) {
        it->second += (time - it->second) / smoothingDivisor;
        return;
    }
    if (m_means.size() >= maxRoutes) {
        m_means.clear();
    }
    m_means.emplace(route, time);
}

Duration RouteTimes::of(const std::string &route, Duration unknown) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_means.find(route);
    return it == m_means.end() ? unknown : it->second;
}

} // namespace Hornbeam
