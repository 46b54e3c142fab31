#pragma once

#include <hornbeam/base/timerservice.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hornbeam {

/**
 * Estimates how long ago a caller sent the first attempt of a request. Callers tell how long they will still wait; the
 * longest such time of a route belongs to first attempts, and a repeated one has less. Safe from any thread.
 */
class CallerAges
{
public:
    /** The age of a request of @p route whose caller waits for @p left; zero for a caller that tells no time. */
    Duration ageOf(const std::string &route, std::optional<std::chrono::milliseconds> left);

private:
    std::mutex m_mutex;
    std::map<std::string, std::chrono::milliseconds, std::less<>> m_longest; ///< By route.
};

} // namespace Hornbeam
