#pragma once

#include <hornbeam/base/timerservice.h>

#include <map>
#include <mutex>
#include <string>

namespace Hornbeam {

/**
 * The mean time that targets take for the requests of a route. A service runs short and long requests, and the mean of
 * all of them makes a short one look as if it could no longer meet its objective. Safe from any thread.
 */
class RouteTimes
{
public:
    /** Notes how long a target on this host took, or what another node reports of its target. */
    void note(const std::string &route, Duration time);

    /** The mean of a route; @p unknown when there is none. */
    Duration of(const std::string &route, Duration unknown) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Duration, std::less<>> m_means; ///< By route.
};

} // namespace Hornbeam
