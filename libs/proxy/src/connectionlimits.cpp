#include "connectionlimits.h"

#include <algorithm>
#include <tuple>

namespace Hornbeam::ConnectionLimits {

namespace {

/** Descriptors that listeners, peers, the store and the operator API use: 64 peers, 3 times 32 admin connections. */
constexpr std::uint64_t reservedDescriptors = 160;

/** Least number of connections, so that a low limit of descriptors does not stop the service. */
constexpr std::uint64_t minConnections = 16;

std::size_t limited(std::size_t configured, std::uint64_t descriptors, std::uint64_t divisor)
{
    const auto available = descriptors > reservedDescriptors ? descriptors - reservedDescriptors : 0;
    return std::min<std::uint64_t>(configured, std::max(available / divisor, minConnections));
}

} // namespace

std::size_t callerConnections(std::size_t configured, std::uint64_t descriptors)
{
    return limited(configured, descriptors, 2);
}

std::size_t peerConnections(std::size_t configured, std::uint64_t descriptors)
{
    return limited(configured, descriptors, 4);
}

std::vector<std::size_t> toClose(const std::vector<ConnectionActivity> &connections, std::size_t limit, TimePoint now)
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const auto &it = connections[i];
        if (it.waiting && now - it.since >= (it.served ? idleTime : firstRequestTime)) {
            candidates.push_back(i);
        }
    }
    // An eighth of the limit: the crowd may open connections faster than the listener looks for room.
    const auto n = std::min(candidates.size(), std::clamp<std::size_t>(limit / 8, 1, maxClosedAtOnce));
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(n),
                      candidates.end(),
                      [&](std::size_t a, std::size_t b) {
                          return std::tie(connections[a].served, connections[a].since)
                              < std::tie(connections[b].served, connections[b].since);
                      });
    candidates.resize(n);
    return candidates;
}

} // namespace Hornbeam::ConnectionLimits
