#pragma once

#include <hornbeam/config/route.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * Divides the requests of a route among the services of its splits by smooth weighted round robin, which keeps the
 * weights over short sequences of requests and not only on average. Thread-safe.
 */
class SplitChooser
{
public:
    /** @p seed: seed of each route's initial position in its cycle; 0 takes one from the operating system. */
    explicit SplitChooser(std::uint64_t seed = 0);

    /** The service for the next request of the route. */
    const std::string &choose(const Route &route);

private:
    struct RoundRobinState
    {
        std::vector<RouteSplit> splits;
        std::vector<std::int64_t> currentWeights; ///< One per split; their sum is zero.
    };

    RoundRobinState &stateOf(const Route &route);

    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::map<std::string, RoundRobinState, std::less<>> m_states; ///< By name of the route.
};

} // namespace Hornbeam
