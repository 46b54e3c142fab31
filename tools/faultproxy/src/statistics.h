#pragma once

#include "faultrule.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>

namespace Hornbeam {

/** Traffic counters of one flow. Bytes are payload, without IP, TCP and UDP headers. */
struct FlowStatistics
{
    std::uint64_t connections = 0; ///< Accepted connections, including refused ones.
    std::uint64_t connectionsRefused = 0; ///< Reset without ever being connected to the server behind the link.
    std::uint64_t bytesForward = 0;
    std::uint64_t bytesBackward = 0;
    std::uint64_t datagrams = 0; ///< Forwarded datagrams; each copy counts.
    std::uint64_t datagramBytes = 0;
    std::uint64_t datagramsDropped = 0;
    std::uint64_t responsesDropped = 0;
};

/** Traffic counters of every flow since the proxy started. */
class Statistics
{
public:
    /** Returns the counters of @p flow, creating them on first use. */
    FlowStatistics &forFlow(const Flow &flow)
    {
        return m_flows[flow];
    }

    nlohmann::json toJson() const;

private:
    std::map<Flow, FlowStatistics> m_flows;
};

} // namespace Hornbeam
