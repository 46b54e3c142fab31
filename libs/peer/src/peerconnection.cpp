#include "peerconnection.h"

#include <hornbeam/base/executor.h>

#include "peercodec.h"

#include <asio/io_context.hpp>
#include <grpcpp/create_channel_posix.h>

#include <netinet/tcp.h>
#include <utility>

namespace Hornbeam {

namespace {

Error unavailable(const std::string &text)
{
    return {ErrorCode::Unavailable, text};
}

} // namespace

PeerConnection::PeerConnection(const GrpcPeerClientOptions &options,
                               const GrpcPeerClientDependencies &dependencies,
                               PeerByteCounters counters,
                               Endpoint peer)
    : m_options(options)
    , m_dependencies(dependencies)
    , m_counters(counters)
    , m_peer(std::move(peer))
    , m_backoff(options.reconnectBackoff)
{
}

void PeerConnection::acquire(Waiter waiter)
{
    m_lastUse = m_dependencies.timers.now();
    if (m_stub) {
        waiter(m_stub, false);
        return;
    }
    if (m_lastUse < m_nextConnect) {
        waiter(tl::unexpected(unavailable("waiting to reconnect to " + m_peer.toString() + " after a failure")), false);
        return;
    }
    if (m_waiters.size() >= m_options.maxWaitingRequests) {
        waiter(makeError(ErrorCode::Overloaded, "too many requests are waiting for a connection"), false);
        return;
    }
    m_waiters.push_back(std::move(waiter));
    if (!m_connecting) {
        connect();
    }
}

void PeerConnection::drop(const PeerStubPtr &stub)
{
    if (stub && stub == m_stub) {
        close();
    }
}

void PeerConnection::sweep(TimePoint now)
{
    if (!m_stub) {
        return;
    }
    const bool open = m_meter->sample(now);
    if (!open || now - m_lastUse >= m_options.idleTimeout) {
        close();
    }
}

bool PeerConnection::isUnused(TimePoint now) const
{
    return !m_stub && !m_connecting && m_nextConnect <= now && now - m_lastUse >= m_options.idleTimeout;
}

void PeerConnection::stop()
{
    m_stopped = true;
    m_connectTimer.reset();
    m_waiters.clear();
    close();
}

void PeerConnection::connect()
{
    m_connecting = true;
    auto socket = std::make_shared<asio::ip::tcp::socket>(m_dependencies.context);
    std::error_code ec = openSocket(*socket);
    asio::ip::address address;
    if (!ec) {
        address = asio::ip::make_address(m_peer.address(), ec);
    }
    if (ec) {
        m_dependencies.control.post([self = shared_from_this(), socket, ec] { self->connected(*socket, ec); });
        return;
    }
    m_connectTimer = m_dependencies.timers.once(m_options.connectTimeout, [socket] {
        std::error_code ignored;
        socket->close(ignored);
    });
    socket->async_connect({address, m_peer.port()}, [self = shared_from_this(), socket](const std::error_code &result) {
        self->connected(*socket, result);
    });
}

std::error_code PeerConnection::openSocket(asio::ip::tcp::socket &socket) const
{
    std::error_code ec;
    const auto local = asio::ip::make_address(m_options.localAddress, ec);
    const asio::ip::tcp::endpoint source(local, 0);
    socket.open(source.protocol(), ec);
    if (ec) {
        return ec;
    }
    socket.bind(source, ec);
    if (ec) {
        std::error_code ignored;
        socket.close(ignored);
        return ec;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    const auto timeout = static_cast<unsigned int>(m_options.userTimeout.count());
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    return ec;
}

void PeerConnection::connected(asio::ip::tcp::socket &socket, std::error_code ec)
{
    m_connecting = false;
    m_connectTimer.reset();
    if (m_stopped) {
        return;
    }
    const auto waiters = std::exchange(m_waiters, {});
    if (ec || !createChannel(socket)) {
        m_nextConnect = m_dependencies.timers.now() + m_backoff.next();
        const auto error = unavailable("cannot connect to " + m_peer.toString() + ": " + ec.message());
        for (const auto &waiter : waiters) {
            waiter(tl::unexpected(error), true);
        }
        return;
    }
    m_backoff.reset();
    const auto stub = m_stub;
    for (const auto &waiter : waiters) {
        waiter(stub, true);
    }
}

bool PeerConnection::createChannel(asio::ip::tcp::socket &socket)
{
    std::error_code ec;
    socket.non_blocking(true, ec);
    auto meter = ConnectionMeter::make(socket.native_handle(), m_counters, m_dependencies.timers.now());
    if (!meter) {
        return false;
    }
    const int descriptor = socket.release(ec);
    if (ec) {
        return false;
    }
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(maxPeerMessageBytes);
    const auto channel = grpc::CreateCustomInsecureChannelFromFd(m_peer.toString(), descriptor, arguments);
    m_stub = hornbeam::peer::wire::Peer::NewStub(channel);
    m_meter = std::move(meter);
    return true;
}

void PeerConnection::close()
{
    // Requests in flight hold the stub, and with it the descriptor, until they end.
    m_stub.reset();
    m_meter.reset();
}

} // namespace Hornbeam
