#pragma once

#include <hornbeam/base/timerservice.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hornbeam {

/**
 * Estimates how long ago a caller sent the first attempt of a request, from the time that the caller will still wait
 * for the response. The longest such time of a route is that of first attempts; the difference to it is the age.
 * Thread-safe.
 */
class CallAgeEstimator
{
public:
    /** The age of a request of @p route whose caller still waits for @p timeLeft; zero without a time from the caller.
     */
    Duration ageOf(const std::string &route, std::optional<std::chrono::milliseconds> timeLeft);

private:
    std::mutex m_mutex;
    std::map<std::string, std::chrono::milliseconds, std::less<>>
        m_longest; ///< Longest time left, by name of the route.
};

} // namespace Hornbeam
