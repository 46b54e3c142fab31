#include "upstreampool.h"

#include <algorithm>

namespace Hornbeam {

UpstreamPool::UpstreamPool(UpstreamPoolOptions options)
    : m_options(options)
{
}

UpstreamConnectionPtr UpstreamPool::take(const Endpoint &target, TimePoint now, Duration maxIdle)
{
    const auto idle = m_idle.find(target);
    if (idle == m_idle.end()) {
        return nullptr;
    }
    auto &connections = idle->second;
    // The last connection has been idle for the shortest time; if it exceeds the limit, so do all others.
    while (!connections.empty() && now - connections.back()->lastResponse <= maxIdle) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        const bool usable = !isExpired(*connection, now);
        // Bytes that arrived on an idle connection would be parsed as the next response.
        if (usable && connection->stream.socket().isOpenAndIdle()) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void UpstreamPool::put(UpstreamConnectionPtr connection)
{
    auto &connections = m_idle[connection->target];
    if (connections.size() >= m_options.maxIdlePerTarget) {
        connections.erase(connections.begin());
    }
    connections.push_back(std::move(connection));
}

void UpstreamPool::closeOlder(const Endpoint &target, TimePoint since)
{
    const auto idle = m_idle.find(target);
    if (idle != m_idle.end()) {
        std::erase_if(idle->second, [since](const auto &connection) { return connection->lastResponse < since; });
    }
}

void UpstreamPool::closeExpired(TimePoint now)
{
    for (auto &[target, connections] : m_idle) {
        std::erase_if(connections, [&](const auto &connection) { return isExpired(*connection, now); });
    }
    std::erase_if(m_idle, [](const auto &it) { return it.second.empty(); });
}

bool UpstreamPool::isExpired(const UpstreamConnection &connection, TimePoint now) const
{
    return now - connection.lastResponse >= std::min<Duration>(m_options.idleTimeout, connection.idleTimeout);
}

void UpstreamPool::clear()
{
    m_idle.clear();
}

std::size_t UpstreamPool::size() const
{
    std::size_t n = 0;
    for (const auto &[target, connections] : m_idle) {
        n += connections.size();
    }
    return n;
}

} // namespace Hornbeam
