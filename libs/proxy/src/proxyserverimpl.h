#pragma once

#include "servercore.h"
#include "trafficthread.h"

#include <memory>
#include <vector>

namespace Hornbeam {

/** Implements ProxyServer with several traffic threads. */
class ProxyServerImpl : public ProxyServer
{
public:
    ProxyServerImpl(ProxyOptions options, ProxyDependencies dependencies);
    ~ProxyServerImpl() override;

    /** Binds the listening sockets of each thread and starts the threads. */
    Result<bool> start();

    void publish(RoutingStatePtr state) override;
    Endpoint localEndpoint() const override;
    Endpoint relayEndpoint() const override;
    void drain(std::function<void()> drained) override;
    void peerStops(const std::string &nodeId) override;
    std::size_t requestsInFlight() const override;
    std::string dumpJson() const override;

private:
    Result<Endpoint> listen(const Endpoint &where, CallOrigin origin);
    void checkDrained(TimePoint bound, const std::function<void()> &drained);
    void interrupt(const std::function<void()> &drained);

    ServerCore m_core;
    std::vector<std::unique_ptr<TrafficThread>> m_threads;
    Endpoint m_localEndpoint;
    Endpoint m_relayEndpoint;
};

} // namespace Hornbeam
