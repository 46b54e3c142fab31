#include "ratelimiter.h"

#include <algorithm>

namespace Hornbeam {

namespace {

/** How far calls may run ahead of the rate, so that small irregularities of an even load cause no delay. */
constexpr Duration burstTolerance = std::chrono::milliseconds(50);

} // namespace

Duration RateLimiter::reserve(double callsPerSecond, TimePoint now)
{
    const Duration wait = waitTime(now);
    const auto interval = std::chrono::duration<double>(1.0 / std::max(callsPerSecond, 1.0));
    m_next = std::max(m_next, now) + std::chrono::duration_cast<Duration>(interval);
    return wait;
}

bool RateLimiter::tryReserve(double callsPerSecond, TimePoint now)
{
    if (waitTime(now) > Duration::zero()) {
        return false;
    }
    reserve(callsPerSecond, now);
    return true;
}

Duration RateLimiter::waitTime(TimePoint now) const
{
    return std::max(Duration::zero(), m_next - now - burstTolerance);
}

} // namespace Hornbeam
