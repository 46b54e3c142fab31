#pragma once

#include "faultrule.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>

namespace Hornbeam {

/** What passed through the proxy between one source and one link. Bytes are payload without IP and TCP headers. */
struct FlowStatistics
{
    std::uint64_t connections = 0; ///< Accepted since the start, including refused ones.
    std::uint64_t connectionsRefused = 0;
    std::uint64_t bytesForward = 0;
    std::uint64_t bytesBackward = 0;
    std::uint64_t datagrams = 0; ///< Forwarded, each copy counted.
    std::uint64_t datagramBytes = 0;
    std::uint64_t datagramsDropped = 0;
    std::uint64_t responsesDropped = 0;
};

/** Statistics of every flow since the start of the proxy. */
class Statistics
{
public:
    FlowStatistics &of(const Flow &flow)
    {
        return m_flows[flow];
    }

    nlohmann::json toJson() const;

private:
    std::map<Flow, FlowStatistics> m_flows;
};

} // namespace Hornbeam
