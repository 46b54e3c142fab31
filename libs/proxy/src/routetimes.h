#pragma once

#include <hornbeam/base/timerservice.h>

#include <map>
#include <mutex>
#include <string>

namespace Hornbeam {

/**
 * Mean service time of the requests of each route. The mean of a whole service, whose routes have short and long
 * requests, would make a short request look too late for its latency objective. Thread-safe.
 */
class RouteTimes
{
public:
    /** Records the time that a target on this host took, or the mean that another node reported of its target. */
    void note(const std::string &route, Duration time);

    /** The mean of a route; @p unknown if there are no samples. */
    Duration of(const std::string &route, Duration unknown) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Duration, std::less<>> m_means; ///< By name of the route.
};

} // namespace Hornbeam
