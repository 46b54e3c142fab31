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

    /** Time by which the node needs the responses to its requests; the maximum if it is not known to stop. */
    TimePoint endOf(const RelaySender &sender) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, TimePoint> m_starts;
};

} // namespace Hornbeam
