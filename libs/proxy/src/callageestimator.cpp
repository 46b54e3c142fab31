#include "callageestimator.h"

#include <algorithm>

namespace Hornbeam {

namespace {

/** Limits the memory use; the age is not estimated for further routes. */
constexpr std::size_t maxRoutes = 10000;

} // namespace

Duration CallAgeEstimator::ageOf(const std::string &route, std::optional<std::chrono::milliseconds> timeLeft)
{
    if (!timeLeft) {
        return Duration::zero();
    }
    const std::lock_guard lock(m_mutex);
    const auto it = m_longest.find(route);
    if (it != m_longest.end()) {
        it->second = std::max(it->second, *timeLeft);
        return it->second - *timeLeft;
    }
    if (m_longest.size() < maxRoutes) {
        m_longest.emplace(route, *timeLeft);
    }
    return Duration::zero();
}

} // namespace Hornbeam
