#pragma once

#include <hornbeam/base/timerservice.h>

#include <algorithm>

namespace Hornbeam {

/** The largest of the values of the last 30 to 60 seconds. */
template <typename T>
class RecentMaximum
{
public:
    void note(const T &value, TimePoint now)
    {
        advance(now);
        m_current = std::max(m_current, value);
    }

    /** The default value of T if there are no recent values. */
    T value(TimePoint now) const
    {
        auto recent = *this;
        recent.advance(now);
        return std::max(recent.m_current, recent.m_previous);
    }

private:
    static constexpr std::chrono::seconds period{30};

    void advance(TimePoint now)
    {
        if (now < m_periodStart + period) {
            return;
        }
        m_previous = now < m_periodStart + 2 * period ? m_current : T();
        m_current = T();
        m_periodStart = now;
    }

    TimePoint m_periodStart;
    T m_current{}; ///< Of the period that has begun at m_periodStart.
    T m_previous{}; ///< Of the period before it.
};

} // namespace Hornbeam
