#pragma once

#include "faultrule.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>

namespace Hornbeam {

struct ProxyContext;

/** One TCP connection through the proxy: the caller's side and the side that the link forwards to. */
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(ProxyContext &context, Flow flow, asio::ip::tcp::socket caller, asio::ip::tcp::endpoint forward);

    /** Starts relaying; the connection keeps itself alive until both sides are closed. */
    void start();

    /** Closes both sides with a TCP reset. */
    void reset();

    /** From now on discards what arrives in the given directions, without closing either side. */
    void silence(DirectionFilter direction);

    const Flow &flow() const
    {
        return m_flow;
    }

private:
    /** Bytes that are due at the other side at a point in time. */
    struct Chunk
    {
        std::chrono::steady_clock::time_point due;
        std::string bytes;
    };

    /** One direction of the connection. */
    struct Pipe
    {
        Pipe(asio::io_context &io, FlowDirection flowDirection);

        FlowDirection direction;
        std::deque<Chunk> queue;
        std::size_t queuedBytes = 0;
        bool silent = false;
        bool finished = false; ///< The reading side was closed.
        bool failed = false; ///< The reading side was reset.
        asio::steady_timer changed; ///< Never expires; cancelled when any member changes.
        asio::steady_timer due;
    };

    asio::awaitable<void> run();
    asio::awaitable<bool> connect();
    asio::awaitable<void> readFrom(asio::ip::tcp::socket &from, Pipe &pipe);
    asio::awaitable<void> writeTo(asio::ip::tcp::socket &to, Pipe &pipe);
    asio::awaitable<bool> waitForChunk(Pipe &pipe);
    asio::awaitable<void> waitWhileHeld(FlowDirection direction);
    void readFailed(Pipe &pipe, const std::error_code &ec);
    void received(Pipe &pipe, std::string bytes);
    bool dropsResponse(std::string_view bytes);

    ProxyContext &m_context;
    Flow m_flow;
    asio::ip::tcp::socket m_caller;
    asio::ip::tcp::socket m_server;
    asio::ip::tcp::endpoint m_forward;
    Pipe m_forwardPipe;
    Pipe m_backwardPipe;
    std::string m_request; ///< Bytes from the caller since the last bytes from the server, bounded.
    bool m_responded = false; ///< The server has sent bytes since the caller's last ones.
    bool m_closed = false;
};

} // namespace Hornbeam
