#include "targetpace.h"

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr double growth = 2;
constexpr double backoff = 0.5;

/** Of a request whose typical time is not known: it says nothing about the target. */
constexpr double unknownSlowdown = 1;

} // namespace

TargetPace::TargetPace(TargetPaceOptions options)
    : m_options(options)
{
}

void TargetPace::start(std::uint32_t slots)
{
    beginRecovery(m_options.startShare * slots);
}

void TargetPace::record(PaceOutcome outcome, Duration time, Duration typical, std::uint32_t slots, TimePoint now)
{
    if (outcome != PaceOutcome::Success) {
        recordTrouble(slots, now);
        return;
    }
    m_troubles = 0;
    m_pause = Duration::zero();
    m_pausedUntil = TimePoint::min();
    if (m_limiting) {
        const bool known = typical > Duration::zero();
        recordSuccess(known ? std::chrono::duration<double>(time) / typical : unknownSlowdown, slots);
    }
}

std::uint32_t TargetPace::limit(std::uint32_t slots, TimePoint now) const
{
    if (!m_limiting) {
        return slots;
    }
    return now < m_pausedUntil ? 0 : std::clamp(static_cast<std::uint32_t>(m_limit), 1U, std::max(slots, 1U));
}

Duration TargetPace::expectedTime(Duration typical) const
{
    if (!m_limiting) {
        return typical;
    }
    const auto slowdown = m_baseSlowdown > 0 ? m_baseSlowdown : m_options.startSlowdown;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(typical) * std::max(slowdown, 1.0));
}

void TargetPace::recordSuccess(double slowdown, std::uint32_t slots)
{
    m_roundSlowdown += slowdown;
    ++m_roundSuccesses;
    if (m_roundSuccesses >= static_cast<std::uint32_t>(m_limit)) {
        finishRound(slots);
    }
}

void TargetPace::finishRound(std::uint32_t slots)
{
    const auto mean = m_roundSlowdown / m_roundSuccesses;
    const bool slower = m_baseSlowdown > 0 && mean > m_baseSlowdown * m_options.tolerance;
    m_baseSlowdown = m_baseSlowdown > 0 ? std::min(m_baseSlowdown, mean) : mean;
    m_roundSlowdown = 0;
    m_roundSuccesses = 0;
    if (slower) {
        // The target has reached what it can do. A single step keeps testing, because its host may be busy only now.
        m_limit += 1;
    } else {
        m_limit *= growth;
    }
    m_limiting = m_limit < slots;
}

void TargetPace::recordTrouble(std::uint32_t slots, TimePoint now)
{
    ++m_troubles;
    if (!m_limiting) {
        if (m_troubles >= m_options.troubleThreshold) {
            beginRecovery(backoff * slots);
        }
        return;
    }
    m_roundSlowdown = 0;
    m_roundSuccesses = 0;
    const bool lowest = m_limit < growth;
    m_limit = std::max(1.0, m_limit * backoff);
    if (lowest) {
        m_pause = m_pause == Duration::zero() ? m_options.firstPause : std::min(m_pause * 2, m_options.longestPause);
        m_pausedUntil = now + m_pause;
    }
}

void TargetPace::beginRecovery(double limit)
{
    m_limiting = true;
    m_limit = std::max(1.0, limit);
    m_baseSlowdown = 0;
    m_roundSlowdown = 0;
    m_roundSuccesses = 0;
}

} // namespace Hornbeam
