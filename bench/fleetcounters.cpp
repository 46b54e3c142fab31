#include "fleetcounters.h"

#include "processusage.h"

#include <sstream>
#include <string>
#include <string_view>

namespace Hornbeam {

namespace {

void addTo(ControlBytes &sum, const ControlBytes &bytes)
{
    sum.store += bytes.store;
    sum.membership += bytes.membership;
    sum.peer += bytes.peer;
}

void addLine(ControlBytes &sum, std::string_view line)
{
    const auto value = line.rfind(' ');
    if (line.starts_with('#') || value == std::string_view::npos) {
        return;
    }
    const auto n = static_cast<std::uint64_t>(std::stod(std::string(line.substr(value + 1))));
    if (line.starts_with("hornbeam_store_bytes_")) {
        sum.store += n;
    } else if (line.starts_with("hornbeam_membership_bytes_")) {
        sum.membership += n;
    } else if (line.starts_with("hornbeam_peer_bytes_")) {
        sum.peer += n;
    }
}

} // namespace

FleetCounters::FleetCounters(Fleet &fleet)
    : m_fleet(fleet)
{
}

void FleetCounters::killNode(int node)
{
    addTo(m_killedBytes, bytesOf(node));
    m_killedCpu += readProcessUsage(m_fleet.nodePid(node)).cpu;
    m_fleet.killNode(node);
}

ControlBytes FleetCounters::bytes() const
{
    auto sum = m_killedBytes;
    for (const int node : m_fleet.allNodes()) {
        addTo(sum, bytesOf(node));
    }
    return sum;
}

std::chrono::milliseconds FleetCounters::cpu() const
{
    auto sum = m_killedCpu;
    for (const int node : m_fleet.allNodes()) {
        sum += readProcessUsage(m_fleet.nodePid(node)).cpu;
    }
    return sum;
}

ControlBytes FleetCounters::bytesOf(int node) const
{
    ControlBytes sum;
    std::istringstream text(m_fleet.metrics(node));
    std::string line;
    while (std::getline(text, line)) {
        addLine(sum, line);
    }
    return sum;
}

} // namespace Hornbeam
