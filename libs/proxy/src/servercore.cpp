#include "servercore.h"

#include "connectionlimits.h"

#include <sys/resource.h>

#include <utility>

namespace Hornbeam {

namespace {

/**
 * Before the end of a shutdown, the rest of each response is passed to its socket: the kernel sends what it has
 * buffered also after the process has ended.
 */
constexpr std::chrono::seconds unpacedTime{1};

/** The descriptors that the process may open. */
std::uint64_t descriptorLimit()
{
    struct rlimit limit = {};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : RLIM_INFINITY;
}

} // namespace

ServerCore::ServerCore(ProxyOptions serverOptions, ProxyDependencies serverDependencies)
    : options(std::move(serverOptions))
    , dependencies(serverDependencies)
    , linkPacer({.megabitsPerSecond = options.linkMegabitsPerSecond})
    , balancer(options, dependencies.metrics, linkPacer)
    , suspects(options.crashWindow)
    , metrics(dependencies.metrics)
    , accounts(std::chrono::steady_clock::now())
    , requestBuffers(options.maxBufferedBytes)
    , responseBuffers(options.maxBufferedBytes)
    , largeResponseBuffers(maxLargeResponseBytes)
    , limitReports(dependencies.metrics, dependencies.log)
    , maxCallerConnections(ConnectionLimits::callerConnections(options.maxConnections, descriptorLimit()))
    , maxPeerConnections(ConnectionLimits::peerConnections(options.maxConnections, descriptorLimit()))
{
    auto initial = std::make_shared<RoutingState>();
    initial->snapshot = Snapshot::empty();
    m_state = std::move(initial);
}

TimePoint ServerCore::stopDeadline() const
{
    const auto end = stopEnd.load(std::memory_order_relaxed);
    return end == TimePoint::max() ? end : end - stopReserve;
}

TimePoint ServerCore::pacedUntil() const
{
    const auto end = stopEnd.load(std::memory_order_relaxed);
    return end == TimePoint::max() ? end : end - unpacedTime;
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
    suspects.setReported(state->suspects);
    const std::lock_guard lock(m_mutex);
    m_state = std::move(state);
}

} // namespace Hornbeam
