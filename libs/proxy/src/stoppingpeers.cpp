#include "stoppingpeers.h"

#include "relayheader.h"

namespace Hornbeam {

namespace {

/** The upper bound of ProxyOptions::drainBound in the settings. */
constexpr auto longestStop = std::chrono::hours(1);

} // namespace

void StoppingPeers::add(const std::string &nodeId, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_starts, [now](const auto &it) { return it.second + longestStop <= now; });
    m_starts.emplace(nodeId, now);
}

TimePoint StoppingPeers::endOf(const RelaySender &sender) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_starts.find(sender.nodeId);
    return it == m_starts.end() ? TimePoint::max() : it->second + sender.stopTime;
}

} // namespace Hornbeam
