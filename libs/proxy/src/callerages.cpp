#include "callerages.h"

#include <algorithm>

namespace Hornbeam {

namespace {

/** Bound of the memory; routes beyond it have no estimate. */
constexpr std::size_t maxRoutes = 10000;

} // namespace

Duration CallerAges::ageOf(const std::string &route, std::optional<std::chrono::milliseconds> left)
{
    if (!left) {
        return Duration::zero();
    }
    const std::lock_guard lock(m_mutex);
    const auto it = m_longest.find(route);
    if (it != m_longest.end()) {
        it->second = std::max(it->second, *left);
        return it->second - *left;
    }
    if (m_longest.size() < maxRoutes) {
        m_longest.emplace(route, *left);
    }
    return Duration::zero();
}

} // namespace Hornbeam
