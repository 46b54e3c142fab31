#include "nodedisruptions.h"

namespace Hornbeam {

NodeDisruptions::NodeDisruptions(int nodes)
    : m_disruptions(static_cast<std::size_t>(nodes))
{
}

void NodeDisruptions::begin(int node, DisruptionKind kind, std::chrono::milliseconds stopNotice)
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    m_disruptions[static_cast<std::size_t>(node)].push_back(
        {.kind = kind, .begin = now, .noticeEnd = now + stopNotice});
}

void NodeDisruptions::exited(int node, TimePoint when)
{
    const std::lock_guard lock(m_mutex);
    m_disruptions[static_cast<std::size_t>(node)].back().exited = when;
}

void NodeDisruptions::end(int node)
{
    const std::lock_guard lock(m_mutex);
    m_disruptions[static_cast<std::size_t>(node)].back().end = std::chrono::steady_clock::now();
}

Excuse NodeDisruptions::excuse(int node, const HttpExchange &exchange) const
{
    const std::lock_guard lock(m_mutex);
    auto excuse = Excuse::None;
    for (const auto &disruption : m_disruptions[static_cast<std::size_t>(node)]) {
        if (disruption.excuses(exchange)) {
            excuse = disruption.kind == DisruptionKind::Stop ? Excuse::PlannedStop : Excuse::Fault;
        }
    }
    return excuse;
}

std::string NodeDisruptions::describeStop(int node, const HttpExchange &exchange) const
{
    const std::lock_guard lock(m_mutex);
    const auto milliseconds = [](std::chrono::steady_clock::duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
    };
    for (const auto &it : m_disruptions[static_cast<std::size_t>(node)]) {
        if (it.kind == DisruptionKind::Stop && exchange.connected < it.exited && exchange.ended >= it.begin) {
            return ", sent " + milliseconds(exchange.sent - it.begin) + " and ended "
                + milliseconds(exchange.ended - it.begin) + " after SIGTERM with a stop notice of "
                + milliseconds(it.noticeEnd - it.begin);
        }
    }
    return {};
}

bool NodeDisruptions::Disruption::excuses(const HttpExchange &exchange) const
{
    const bool overlaps = exchange.started <= end && exchange.ended >= begin;
    if (exchange.end == ExchangeEnd::NotConnected) {
        return kind != DisruptionKind::Pause && overlaps;
    }
    const bool toThisProcess = exchange.connected < exited;
    switch (kind) {
    case DisruptionKind::Pause:
        return overlaps;
    case DisruptionKind::Kill:
        return toThisProcess && exchange.ended >= begin;
    case DisruptionKind::Stop:
        break;
    }
    const bool nothingReceived = exchange.end == ExchangeEnd::NotSent || exchange.end == ExchangeEnd::NoResponse;
    return toThisProcess && nothingReceived && exchange.sent >= noticeEnd;
}

} // namespace Hornbeam
