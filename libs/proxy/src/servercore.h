#pragma once

#include "bufferpool.h"
#include "callageestimator.h"
#include "crashsuspects.h"
#include "limitreports.h"
#include "linkpacer.h"
#include "linkqueue.h"
#include "loadbalancer.h"
#include "proxymetrics.h"
#include "responsetimes.h"
#include "routetimes.h"
#include "runningrequests.h"
#include "splitchooser.h"
#include "stoppingpeers.h"

#include <hornbeam/accounts/accountresolver.h>
#include <hornbeam/proxy/proxyserver.h>

#include <atomic>
#include <functional>
#include <mutex>

namespace Hornbeam {

/**
 * The state of a ProxyServerImpl that its traffic threads share. The server owns one ServerCore and passes it to each
 * TrafficThread.
 */
class ServerCore
{
public:
    /** Time before the end of a shutdown that is left for a late response to reach the next hop. */
    static constexpr std::chrono::milliseconds stopReserve{200};

    ServerCore(ProxyOptions options, ProxyDependencies dependencies);

    const ProxyOptions options;
    const ProxyDependencies dependencies;
    LinkPacer linkPacer;
    LinkQueue linkQueue;
    LinkQueue stopQueue; ///< Of requests for large responses during a graceful shutdown, see RetryableCall.
    LoadBalancer balancer;
    CrashSuspects suspects;
    ProxyMetrics metrics;
    CallAgeEstimator callAges;
    SplitChooser splits;
    RunningRequests running;
    const AccountResolver accounts;
    RouteTimes routeTimes;
    ResponseTimes responseTimes;
    StoppingPeers stoppingPeers;
    std::atomic<std::size_t> requestsInFlight = 0;
    BufferPool requestBuffers; ///< For heads and bodies of requests.
    BufferPool responseBuffers; ///< For responses that are kept until they are complete, except large ones.
    BufferPool largeResponseBuffers; ///< The same for large responses.
    LimitReports limitReports;
    const std::size_t maxCallerConnections;
    const std::size_t maxPeerConnections;
    std::atomic<std::size_t> connections = 0; ///< Of callers.
    std::atomic<std::size_t> peerConnections = 0; ///< Of other nodes.
    std::atomic<std::size_t> listeningThreads = 0; ///< Traffic threads that still accept connections.
    std::atomic<bool> draining = false;
    std::atomic<TimePoint> stopEnd = TimePoint::max(); ///< When a graceful shutdown interrupts the remaining requests.

    /** The latest deadline of a request during a graceful shutdown; the maximum while there is none. */
    TimePoint stopDeadline() const;

    /** When large responses are no longer paced, because the process is about to end. */
    TimePoint pacedUntil() const;

    RoutingStatePtr state() const;
    void publish(RoutingStatePtr state);

    /** On all threads, closes the pooled connections to @p target without a response since @p since. */
    std::function<void(const Endpoint &target, TimePoint since)> closeOlderConnections;

private:
    mutable std::mutex m_mutex;
    RoutingStatePtr m_state;
};

} // namespace Hornbeam
