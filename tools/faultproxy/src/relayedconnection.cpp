#include "relayedconnection.h"

#include "proxycontext.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <poll.h>

namespace Hornbeam {

namespace {

using asio::ip::tcp;

constexpr std::size_t readBufferBytes = 65536;
constexpr std::size_t maxQueuedBytes = 262144; ///< Per direction; above it reading pauses and TCP slows the sender.
constexpr std::size_t maxRequestBytes = 65536; ///< Prefix of a request that DropResponse rules are matched against.

void closeWithReset(tcp::socket &socket)
{
    std::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

/** Whether the peer has closed the connection. Detects it also while unread bytes are in the receive buffer. */
bool closedByPeer(tcp::socket &socket)
{
    pollfd request = {.fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&request, 1, 0) > 0 && (request.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

asio::awaitable<void> wait(asio::steady_timer &timer)
{
    std::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace

RelayedConnection::Pipe::Pipe(asio::io_context &io, FlowDirection flowDirection)
    : direction(flowDirection)
    , changed(io, asio::steady_timer::time_point::max())
    , due(io)
{
}

RelayedConnection::RelayedConnection(ProxyContext &context, Flow flow, tcp::socket caller, tcp::endpoint forward)
    : m_context(context)
    , m_flow(std::move(flow))
    , m_caller(std::move(caller))
    , m_server(context.io)
    , m_forward(std::move(forward))
    , m_forwardPipe(context.io, FlowDirection::Forward)
    , m_backwardPipe(context.io, FlowDirection::Backward)
{
}

void RelayedConnection::start()
{
    ++m_context.statistics.forFlow(m_flow).connections;
    asio::co_spawn(
        m_context.io, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void RelayedConnection::reset()
{
    m_closed = true;
    closeWithReset(m_caller);
    closeWithReset(m_server);
    for (Pipe *pipe : {&m_forwardPipe, &m_backwardPipe}) {
        pipe->changed.cancel();
        pipe->due.cancel();
    }
}

void RelayedConnection::silence(DirectionFilter direction)
{
    m_forwardPipe.silent = m_forwardPipe.silent || direction != DirectionFilter::Backward;
    m_backwardPipe.silent = m_backwardPipe.silent || direction != DirectionFilter::Forward;
}

asio::awaitable<void> RelayedConnection::run()
{
    if (!co_await connect()) {
        ++m_context.statistics.forFlow(m_flow).connectionsRefused;
        reset();
        co_return;
    }
    const auto self = shared_from_this();
    const auto spawn = [&](auto step) {
        asio::co_spawn(m_context.io, step, asio::detached);
    };
    spawn([self] { return self->readFrom(self->m_caller, self->m_forwardPipe); });
    spawn([self] { return self->writeTo(self->m_server, self->m_forwardPipe); });
    spawn([self] { return self->readFrom(self->m_server, self->m_backwardPipe); });
    spawn([self] { return self->writeTo(self->m_caller, self->m_backwardPipe); });
}

asio::awaitable<bool> RelayedConnection::connect()
{
    // A TCP handshake needs both directions, so a rule for either one delays the connection.
    while (m_context.rules.holdsBack(m_flow, FlowDirection::Forward)
           || m_context.rules.holdsBack(m_flow, FlowDirection::Backward)) {
        co_await m_context.rules.waitForChange();
    }
    if (m_closed || m_context.rules.resetsConnections(m_flow)) {
        co_return false;
    }
    // A caller that gave up while its connection was held back would never have reached the server.
    if (closedByPeer(m_caller)) {
        co_return false;
    }
    std::error_code ec;
    co_await m_server.async_connect(m_forward, asio::redirect_error(asio::use_awaitable, ec));
    if (ec || m_closed) {
        co_return false;
    }
    m_caller.set_option(tcp::no_delay(true), ec);
    m_server.set_option(tcp::no_delay(true), ec);
    co_return true;
}

asio::awaitable<void> RelayedConnection::readFrom(tcp::socket &from, Pipe &pipe)
{
    std::string buf(readBufferBytes, '\0');
    while (!m_closed) {
        if (pipe.queuedBytes >= maxQueuedBytes) {
            co_await wait(pipe.changed);
            continue;
        }
        co_await waitWhileHeld(pipe.direction);
        std::error_code ec;
        const auto n = co_await from.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        if (m_closed) {
            co_return;
        }
        if (ec) {
            readFailed(pipe, ec);
            co_return;
        }
        received(pipe, buf.substr(0, n));
    }
}

asio::awaitable<void> RelayedConnection::writeTo(tcp::socket &to, Pipe &pipe)
{
    while (co_await waitForChunk(pipe)) {
        const auto chunk = std::move(pipe.queue.front());
        pipe.queue.pop_front();
        pipe.due.expires_at(chunk.due);
        co_await wait(pipe.due);
        co_await waitWhileHeld(pipe.direction);
        std::error_code ec;
        if (!m_closed && !pipe.silent) {
            co_await asio::async_write(to, asio::buffer(chunk.bytes), asio::redirect_error(asio::use_awaitable, ec));
        }
        if (ec || m_closed) {
            reset();
            co_return;
        }
        auto &statistics = m_context.statistics.forFlow(m_flow);
        auto &bytes = pipe.direction == FlowDirection::Forward ? statistics.bytesForward : statistics.bytesBackward;
        bytes += pipe.silent ? 0 : chunk.bytes.size();
        pipe.queuedBytes -= chunk.bytes.size();
        pipe.changed.cancel();
    }
    if (pipe.failed && !pipe.silent) {
        reset();
    }
    if (!m_closed && !pipe.silent) {
        std::error_code ec;
        to.shutdown(tcp::socket::shutdown_send, ec);
    }
}

asio::awaitable<bool> RelayedConnection::waitForChunk(Pipe &pipe)
{
    while (!m_closed && pipe.queue.empty() && !pipe.finished) {
        co_await wait(pipe.changed);
    }
    co_return !m_closed && !pipe.queue.empty();
}

asio::awaitable<void> RelayedConnection::waitWhileHeld(FlowDirection direction)
{
    while (!m_closed && m_context.rules.holdsBack(m_flow, direction)) {
        co_await m_context.rules.waitForChange();
    }
}

void RelayedConnection::readFailed(Pipe &pipe, const std::error_code &ec)
{
    pipe.finished = true;
    pipe.failed = ec != asio::error::eof;
    pipe.changed.cancel();
}

void RelayedConnection::received(Pipe &pipe, std::string bytes)
{
    if (pipe.silent) {
        return;
    }
    if (pipe.direction == FlowDirection::Backward && dropResponseIfMatched(bytes)) {
        return;
    }
    if (pipe.direction == FlowDirection::Forward) {
        if (m_responded) {
            m_request.clear();
            m_responded = false;
        }
        m_request += bytes.substr(0, maxRequestBytes - std::min(maxRequestBytes, m_request.size()));
    }
    const auto delay = m_context.rules.streamDelay(m_flow, pipe.direction);
    auto due = std::chrono::steady_clock::now() + delay;
    if (!pipe.queue.empty()) {
        due = std::max(due, pipe.queue.back().due);
    }
    pipe.queuedBytes += bytes.size();
    pipe.queue.push_back({.due = due, .bytes = std::move(bytes)});
    pipe.changed.cancel();
}

bool RelayedConnection::dropResponseIfMatched(std::string_view bytes)
{
    // "100 Continue" is an interim response: the request is still waiting for its final response.
    if (bytes.starts_with("HTTP/1.1 100")) {
        return false;
    }
    const bool firstBytes = !m_responded;
    m_responded = true;
    if (!firstBytes) {
        return false;
    }
    const auto afterDrop = m_context.rules.consumeResponseDrop(m_flow, m_request);
    if (!afterDrop) {
        return false;
    }
    ++m_context.statistics.forFlow(m_flow).responsesDropped;
    if (*afterDrop == AfterDrop::Silence) {
        silence(DirectionFilter::Both);
    } else {
        reset();
    }
    return true;
}

} // namespace Hornbeam
