#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <deque>

namespace Hornbeam {

/** Counts all calls and the calls of the last second. */
class CallStatistics
{
public:
    void add(TimePoint now)
    {
        ++m_total;
        m_recent.push_back(now);
        removeOld(now);
    }

    std::uint64_t total() const
    {
        return m_total;
    }

    /** Returns the number of calls in the second before @p now. */
    std::size_t lastSecond(TimePoint now)
    {
        removeOld(now);
        return m_recent.size();
    }

private:
    void removeOld(TimePoint now)
    {
        while (!m_recent.empty() && m_recent.front() + std::chrono::seconds(1) <= now) {
            m_recent.pop_front();
        }
    }

    std::uint64_t m_total = 0;
    std::deque<TimePoint> m_recent;
};

} // namespace Hornbeam
