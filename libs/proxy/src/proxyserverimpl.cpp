#include "proxyserverimpl.h"

#include <asio/ip/tcp.hpp>
#include <http_parser.h>
#include <nlohmann/json.hpp>

#include <mutex>

namespace Hornbeam {

namespace {

constexpr auto drainCheckPeriod = std::chrono::milliseconds(10);

bool isValid(const ProxyOptions &options)
{
    return options.threads >= 1 && options.threads <= 64 && options.maxConnections >= 1
        && options.maxConnections <= 100000 && options.maxHeaderBytes >= 1024
        && options.maxHeaderBytes <= largestHeaderBytes && options.maxQueuedRequests <= 100000
        && options.retryBudgetPercent <= 100 && options.maxBufferedBytes >= 65536
        && options.maxBufferedBytes <= 1024 * 1024 * 1024;
}

/**
 * Fails if another socket listens on the address. The listening sockets share their port, so binding them would succeed
 * beside those of another process.
 */
std::error_code probeAddress(const asio::ip::tcp::endpoint &endpoint)
{
    asio::io_context context;
    asio::ip::tcp::acceptor probe(context);
    std::error_code ec;
    probe.open(endpoint.protocol(), ec);
    if (!ec) {
        probe.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        probe.bind(endpoint, ec);
    }
    return ec;
}

void raiseParserLimit()
{
    static std::once_flag once;
    std::call_once(once, [] { http_parser_set_max_header_size(4 * largestHeaderBytes); });
}

} // namespace

ProxyServerImpl::ProxyServerImpl(ProxyOptions options, ProxyDependencies dependencies)
    : m_core(std::move(options), dependencies)
{
    m_core.closeOlderConnections = [this](const Endpoint &target, TimePoint since) {
        for (const auto &thread : m_threads) {
            thread->closeOlder(target, since);
        }
    };
}

ProxyServerImpl::~ProxyServerImpl()
{
    // All threads stop before any is destroyed, because their requests share slots and connections.
    for (const auto &thread : m_threads) {
        thread->stop();
    }
}

Result<bool> ProxyServerImpl::start()
{
    const auto &options = m_core.options;
    if (!isValid(options)) {
        return makeError(ErrorCode::InvalidArgument, "a proxy option is out of range");
    }
    raiseParserLimit();
    for (std::uint32_t i = 0; i < options.threads; ++i) {
        m_threads.push_back(std::make_unique<TrafficThread>(m_core));
    }
    auto local = listen(options.listen, CallOrigin::Caller);
    if (!local) {
        return tl::unexpected(local.error());
    }
    m_localEndpoint = *local;
    if (options.relayListen) {
        local = listen(*options.relayListen, CallOrigin::Peer);
        if (!local) {
            return tl::unexpected(local.error());
        }
        m_relayEndpoint = *local;
    }
    for (const auto &thread : m_threads) {
        thread->start();
    }
    return true;
}

Result<Endpoint> ProxyServerImpl::listen(const Endpoint &where, CallOrigin origin)
{
    std::error_code ec;
    const auto address = asio::ip::make_address(where.address(), ec);
    if (ec) {
        return makeError(ErrorCode::InvalidArgument, "invalid listen address " + where.address());
    }
    asio::ip::tcp::endpoint endpoint(address, where.port());
    ec = endpoint.port() == 0 ? std::error_code() : probeAddress(endpoint);
    for (std::size_t i = 0; i < m_threads.size() && !ec; ++i) {
        ec = m_threads[i]->listen(endpoint, origin);
    }
    if (ec) {
        return makeError(ErrorCode::Unavailable, "cannot listen on " + where.toString() + ": " + ec.message());
    }
    return Endpoint(endpoint.address().to_string(), endpoint.port());
}

void ProxyServerImpl::publish(RoutingStatePtr state)
{
    m_core.publish(std::move(state));
}

Endpoint ProxyServerImpl::localEndpoint() const
{
    return m_localEndpoint;
}

Endpoint ProxyServerImpl::relayEndpoint() const
{
    return m_relayEndpoint;
}

void ProxyServerImpl::drain(std::function<void()> drained)
{
    const auto bound = std::chrono::steady_clock::now() + m_core.options.drainBound;
    m_core.stopEnd = bound;
    m_core.draining = true;
    for (const auto &thread : m_threads) {
        thread->drain();
    }
    checkDrained(bound, drained);
}

void ProxyServerImpl::peerStops(const std::string &nodeId)
{
    // Recorded first, for requests that the node has sent before its stop and that have not arrived yet.
    m_core.stoppingPeers.add(nodeId, std::chrono::steady_clock::now());
    for (const auto &thread : m_threads) {
        thread->limitDeadlines(nodeId);
    }
}

void ProxyServerImpl::checkDrained(TimePoint bound, const std::function<void()> &drained)
{
    m_threads.front()->runAfter(drainCheckPeriod, [this, bound, drained] {
        if (m_core.listeningThreads == 0 && m_core.requestsInFlight == 0 && m_core.connections == 0
            && m_core.peerConnections == 0) {
            drained();
        } else if (std::chrono::steady_clock::now() >= bound) {
            interrupt(drained);
        } else {
            checkDrained(bound, drained);
        }
    });
}

void ProxyServerImpl::interrupt(const std::function<void()> &drained)
{
    const auto remaining = std::make_shared<std::atomic<std::size_t>>(m_threads.size());
    for (const auto &thread : m_threads) {
        thread->reportInterrupted([remaining, drained] {
            if (--*remaining == 0) {
                drained();
            }
        });
    }
}

std::size_t ProxyServerImpl::requestsInFlight() const
{
    return m_core.requestsInFlight;
}

std::string ProxyServerImpl::dumpJson() const
{
    const auto now = std::chrono::steady_clock::now();
    const auto state = m_core.state();
    const nlohmann::json json = {
        {"configVersion", state->snapshot->version()},
        {"ready", state->ready},
        {"draining", m_core.draining.load()},
        {"requestsInFlight", m_core.requestsInFlight.load()},
        {"connections", m_core.connections.load()},
        {"peerConnections", m_core.peerConnections.load()},
        {"requestBufferBytes", m_core.requestBuffers.used()},
        {"responseBufferBytes", m_core.responseBuffers.used()},
        {"largeResponseBufferBytes", m_core.largeResponseBuffers.used()},
        {"quarantined", state->quarantined.size()},
        {"services", nlohmann::json::parse(m_core.balancer.dumpJson(now))},
    };
    return json.dump();
}

Result<std::unique_ptr<ProxyServer>> ProxyServer::make(ProxyOptions options, ProxyDependencies dependencies)
{
    auto server = std::make_unique<ProxyServerImpl>(std::move(options), dependencies);
    auto started = server->start();
    if (!started) {
        return tl::unexpected(started.error());
    }
    return server;
}

} // namespace Hornbeam
