#include "servercore.h"

#include <utility>

namespace Hornbeam {

ServerCore::ServerCore(ProxyOptions serverOptions, ProxyDependencies serverDependencies)
    : options(std::move(serverOptions))
    , dependencies(serverDependencies)
    , linkPacer({.megabitsPerSecond = options.linkMegabitsPerSecond})
    , balancer(options, dependencies.metrics, linkPacer)
    , suspects(options.crashWindow)
    , metrics(dependencies.metrics)
{
    auto initial = std::make_shared<RoutingState>();
    initial->snapshot = Snapshot::empty();
    m_state = std::move(initial);
}

RoutingStatePtr ServerCore::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_state;
}

void ServerCore::publish(RoutingStatePtr state)
{
    // The load balancer is updated first: a request that is routed by the new state must find the targets of that
    // state there.
    balancer.publish(*state, std::chrono::steady_clock::now());
    const std::lock_guard lock(m_mutex);
    m_state = std::move(state);
}

} // namespace Hornbeam
