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

/** One TCP connection through the proxy: a socket to the caller and a socket to the server behind the link. */
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(ProxyContext &context, Flow flow, asio::ip::tcp::socket caller, asio::ip::tcp::endpoint forward);

    /** Starts relaying. The running coroutines keep the object alive until both sides are closed. */
    void start();

    /** Closes both sides with a TCP reset. */
    void reset();

    /** Discards all further bytes in the given directions and keeps both sides open. */
    void silence(DirectionFilter direction);

    const Flow &flow() const
    {
        return m_flow;
    }

private:
    /** Received bytes and the time at which to write them to the other side. */
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
        bool finished = false; ///< Reading has ended, by end of stream or by an error.
        bool failed = false; ///< Reading has ended with an error, such as a reset.
        asio::steady_timer changed; ///< Never expires; cancelled when the other members change.
        asio::steady_timer due; ///< Expires when the chunk taken from the queue is due.
    };

    asio::awaitable<void> run();
    asio::awaitable<bool> connect();
    asio::awaitable<void> readFrom(asio::ip::tcp::socket &from, Pipe &pipe);
    asio::awaitable<void> writeTo(asio::ip::tcp::socket &to, Pipe &pipe);
    asio::awaitable<bool> waitForChunk(Pipe &pipe);
    asio::awaitable<void> waitWhileHeld(FlowDirection direction);
    void readFailed(Pipe &pipe, const std::error_code &ec);
    void received(Pipe &pipe, std::string bytes);
    /** Drops the response that begins with @p bytes if a rule matches its request; returns whether it did. */
    bool dropResponseIfMatched(std::string_view bytes);

    ProxyContext &m_context;
    Flow m_flow;
    asio::ip::tcp::socket m_caller;
    asio::ip::tcp::socket m_server;
    asio::ip::tcp::endpoint m_forward;
    Pipe m_forwardPipe;
    Pipe m_backwardPipe;
    std::string m_request; ///< Bytes from the caller since the server's last response, up to a limit.
    bool m_responded = false; ///< The server has sent response bytes since the caller last sent bytes.
    bool m_closed = false;
};

} // namespace Hornbeam
