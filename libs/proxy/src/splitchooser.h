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
 * Divides the requests of a route among the services of its splits by smooth weighted round robin, so that the shares
 * are kept over short times and not only on average. Safe from any thread.
 */
class SplitChooser
{
public:
    /** @p seed: seed of the position at which a route starts; 0 takes one from the operating system. */
    explicit SplitChooser(std::uint64_t seed = 0);

    /** The service that the next request of the route goes to. */
    const std::string &choose(const Route &route);

private:
    struct Position
    {
        std::vector<RouteSplit> splits;
        std::vector<std::int64_t> credits; ///< One per split; their sum is zero.
    };

    Position &positionOf(const Route &route);

    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::map<std::string, Position, std::less<>> m_positions; ///< By route.
};

} // namespace Hornbeam
