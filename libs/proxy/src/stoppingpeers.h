#pragma once

#include <hornbeam/base/timerservice.h>

#include <map>
#include <mutex>
#include <string>

namespace Hornbeam {

struct RelaySender;

/** Other nodes that have begun a graceful shutdown. Thread-safe. */
class StoppingPeers
{
public:
    /** Records that a node begins its shutdown. Forgets shutdowns that began more than an hour ago. */
    void add(const std::string &nodeId, TimePoint now);

    /**
     * End of the node's shutdown, not before the real one; the maximum if the node is not known to stop. Responses are
     * cut off at that time, so it has no reserve.
     */
    TimePoint endOf(const RelaySender &sender) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, TimePoint> m_starts;
};

} // namespace Hornbeam
