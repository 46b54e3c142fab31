#include "responsetimes.h"

namespace Hornbeam {

namespace {

/** Limits the memory use. When there are more routes, all times are cleared. */
constexpr std::size_t maxRoutes = 10000;

} // namespace

void ResponseTimes::note(const std::string &route, Duration time, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    auto it = m_longest.find(route);
    if (it == m_longest.end()) {
        if (m_longest.size() >= maxRoutes) {
            m_longest.clear();
        }
        it = m_longest.emplace(route, RecentMaximum<Duration>()).first;
    }
    it->second.note(time, now);
}

Duration ResponseTimes::longest(const std::string &route, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_longest.find(route);
    return it == m_longest.end() ? Duration::zero() : it->second.value(now);
}

} // namespace Hornbeam
