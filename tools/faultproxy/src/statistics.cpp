#include "statistics.h"

#include <nlohmann/json.hpp>

namespace Hornbeam {

nlohmann::json Statistics::toJson() const
{
    auto flows = nlohmann::json::array();
    for (const auto &[flow, counters] : m_flows) {
        flows.push_back({
            {"source", flow.source},
            {"link", flow.link},
            {"connections", counters.connections},
            {"connectionsRefused", counters.connectionsRefused},
            {"bytesForward", counters.bytesForward},
            {"bytesBackward", counters.bytesBackward},
            {"datagrams", counters.datagrams},
            {"datagramBytes", counters.datagramBytes},
            {"datagramsDropped", counters.datagramsDropped},
            {"responsesDropped", counters.responsesDropped},
        });
    }
    return {{"flows", flows}};
}

} // namespace Hornbeam
