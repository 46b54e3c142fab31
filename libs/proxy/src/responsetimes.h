#pragma once

#include "recentmaximum.h"

#include <map>
#include <mutex>
#include <string>

namespace Hornbeam {

/**
 * The longest recent times from the sending of a request to its response, by route. While RouteTimes estimates when a
 * typical response comes, this says by when nearly every one has come. Thread-safe.
 */
class ResponseTimes
{
public:
    /** Records the time from the sending of a request until its response, with the waits at other nodes. */
    void note(const std::string &route, Duration time, TimePoint now);

    /** The longest time of a route in the last 30 to 60 seconds; zero without any. */
    Duration longest(const std::string &route, TimePoint now) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, RecentMaximum<Duration>, std::less<>> m_longest; ///< By name of the route.
};

} // namespace Hornbeam
