#include <hornbeam/peer/grpcpeerserver.h>

#include "connectionmeter.h"
#include "peercodec.h"
#include "peergrpcservice.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <grpcpp/server_posix.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Hornbeam {

namespace {

constexpr auto sweepPeriod = std::chrono::milliseconds(250);
constexpr auto acceptBudgetPeriod = std::chrono::seconds(1);

// At the maximum number of connections, one without traffic for this time is closed to make room for another peer.
constexpr auto evictionIdleTime = std::chrono::seconds(5);
constexpr auto shutdownGracePeriod = std::chrono::milliseconds(200);
constexpr std::uint32_t maxOption = 10000;

} // namespace

class GrpcPeerServer::Impl : public std::enable_shared_from_this<GrpcPeerServer::Impl>
{
public:
    Impl(GrpcPeerServerOptions options, GrpcPeerServerDependencies dependencies)
        : m_options(std::move(options))
        , m_timers(dependencies.timers)
        , m_counters(dependencies.metrics)
        , m_service(dependencies.control, dependencies.service)
        , m_acceptor(dependencies.context)
        , m_pending(dependencies.context)
        , m_budgetStart(dependencies.timers.now())
    {
    }

    std::error_code open()
    {
        std::error_code ec;
        const auto address = asio::ip::make_address(m_options.listen.address(), ec);
        if (ec) {
            return ec;
        }
        const asio::ip::tcp::endpoint local(address, m_options.listen.port());
        m_acceptor.open(local.protocol(), ec);
        if (!ec) {
            m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
        }
        if (!ec) {
            m_acceptor.bind(local, ec);
        }
        if (!ec) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
        }
        return ec;
    }

    bool start()
    {
        grpc::ServerBuilder builder;
        builder.SetMaxReceiveMessageSize(maxPeerMessageBytes);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
        if (!m_server) {
            return false;
        }
        m_sweepTimer = m_timers.every(sweepPeriod, [this] { sweep(); });
        accept();
        return true;
    }

    void stop()
    {
        std::error_code ec;
        m_acceptor.close(ec);
        m_sweepTimer.reset();
        m_service.stop();
        if (m_server) {
            m_server->Shutdown(std::chrono::system_clock::now() + shutdownGracePeriod);
            m_server.reset();
        }
        m_connections.clear();
    }

    Endpoint localEndpoint() const
    {
        std::error_code ec;
        const auto local = m_acceptor.local_endpoint(ec);
        return ec ? Endpoint() : Endpoint(local.address().to_string(), local.port());
    }

    std::size_t connectionCount() const
    {
        return m_connections.size();
    }

private:
    bool mayAccept() const
    {
        return m_acceptor.is_open() && !m_accepting && m_connections.size() < m_options.maxConnections
            && m_acceptsInPeriod < m_options.maxAcceptsPerSecond;
    }

    void accept()
    {
        if (!mayAccept()) {
            return;
        }
        m_accepting = true;
        m_acceptor.async_accept(m_pending, [self = shared_from_this()](const std::error_code &ec) {
            self->m_accepting = false;
            if (!self->m_acceptor.is_open()) {
                return;
            }
            if (!ec) {
                self->accepted();
                self->accept();
            }
            // After an error, for example when no descriptor is free, the next sweep retries.
        });
    }

    void accepted()
    {
        ++m_acceptsInPeriod;
        std::error_code ec;
        m_pending.set_option(asio::ip::tcp::no_delay(true), ec);
        m_pending.non_blocking(true, ec);
        auto meter = ConnectionMeter::make(m_pending.native_handle(), m_counters, m_timers.now());
        const int descriptor = m_pending.release(ec);
        if (!ec && meter) {
            m_connections.push_back(std::move(meter));
            grpc::AddInsecureChannelFromFd(m_server.get(), descriptor);
        } else if (!ec) {
            asio::ip::tcp::socket(m_acceptor.get_executor(), m_acceptor.local_endpoint().protocol(), descriptor)
                .close(ec);
        }
    }

    void sweep()
    {
        const auto now = m_timers.now();
        if (now - m_budgetStart >= acceptBudgetPeriod) {
            m_budgetStart = now;
            m_acceptsInPeriod = 0;
        }
        std::erase_if(m_connections, [this, now](const auto &connection) {
            const bool open = connection->sample(now);
            if (open && now - connection->lastActivity() >= m_options.idleTimeout) {
                connection->shutdown();
            }
            return !open;
        });
        if (m_connections.size() >= m_options.maxConnections) {
            evictIdle(now);
        }
        accept();
    }

    void evictIdle(TimePoint now)
    {
        const auto oldest =
            std::min_element(m_connections.begin(), m_connections.end(), [](const auto &a, const auto &b) {
                return a->lastActivity() < b->lastActivity();
            });
        if (now - (*oldest)->lastActivity() >= evictionIdleTime) {
            (*oldest)->shutdown();
        }
    }

    const GrpcPeerServerOptions m_options;
    TimerService &m_timers;
    PeerByteCounters m_counters;
    PeerGrpcService m_service;
    std::unique_ptr<grpc::Server> m_server;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_pending;
    bool m_accepting = false;
    std::uint32_t m_acceptsInPeriod = 0;
    TimePoint m_budgetStart;
    std::vector<std::unique_ptr<ConnectionMeter>> m_connections;
    TimerHandle m_sweepTimer;
};

Result<std::unique_ptr<GrpcPeerServer>> GrpcPeerServer::make(GrpcPeerServerOptions options,
                                                             GrpcPeerServerDependencies dependencies)
{
    const auto inRange = [](std::uint32_t n) {
        return n >= 1 && n <= maxOption;
    };
    if (!inRange(options.maxConnections) || !inRange(options.maxAcceptsPerSecond)
        || options.idleTimeout <= Duration::zero()) {
        return makeError(ErrorCode::InvalidArgument, "an option of the peer server is out of range");
    }
    const auto listen = options.listen;
    auto impl = std::make_shared<Impl>(std::move(options), dependencies);
    if (const auto ec = impl->open()) {
        return makeError(ErrorCode::Unavailable, "cannot listen on " + listen.toString() + ": " + ec.message());
    }
    if (!impl->start()) {
        return makeError(ErrorCode::Internal, "the gRPC server did not start");
    }
    return std::unique_ptr<GrpcPeerServer>(new GrpcPeerServer(std::move(impl)));
}

GrpcPeerServer::GrpcPeerServer(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

GrpcPeerServer::~GrpcPeerServer()
{
    m_impl->stop();
}

Endpoint GrpcPeerServer::localEndpoint() const
{
    return m_impl->localEndpoint();
}

std::size_t GrpcPeerServer::connectionCount() const
{
    return m_impl->connectionCount();
}

} // namespace Hornbeam
