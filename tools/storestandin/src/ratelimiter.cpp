#include "ratelimiter.h"

#include <algorithm>

namespace Hornbeam {

namespace {

/** Calls may run ahead of the rate by this much, so that evenly spread callers are not delayed by chance. */
constexpr Duration burst = std::chrono::milliseconds(50);

} // namespace

Duration RateLimiter::reserve(double callsPerSecond, TimePoint now)
{
    const Duration wait = waitAt(now);
    const auto interval = std::chrono::duration<double>(1.0 / std::max(callsPerSecond, 1.0));
    m_next = std::max(m_next, now) + std::chrono::duration_cast<Duration>(interval);
    return wait;
}

bool RateLimiter::tryReserve(double callsPerSecond, TimePoint now)
{
    if (waitAt(now) > Duration::zero()) {
        return false;
    }
    reserve(callsPerSecond, now);
    return true;
}

Duration RateLimiter::waitAt(TimePoint now) const
{
    return std::max(Duration::zero(), m_next - now - burst);
}

} // namespace Hornbeam
