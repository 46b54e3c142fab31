#pragma once

#include <hornbeam/base/timerservice.h>

#include <asio/awaitable.hpp>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <span>
#include <system_error>

namespace Hornbeam {

/**
 * A TCP socket whose operations end at a deadline with std::errc::timed_out.
 * One operation runs at a time, apart from watchDisconnect(). Use it on its executor's single thread.
 */
class TimedSocket
{
public:
    explicit TimedSocket(asio::ip::tcp::socket socket);
    TimedSocket(TimedSocket &&) = default;
    TimedSocket &operator=(TimedSocket &&) = delete;
    ~TimedSocket();

    asio::awaitable<std::error_code> connect(const asio::ip::tcp::endpoint &peer, TimePoint deadline);

    /** Reads at least one byte; @p n receives the number of bytes. */
    asio::awaitable<std::error_code> readSome(asio::mutable_buffer buffer, TimePoint deadline, std::size_t &n);

    /** Waits until the peer has sent something or closed the connection. */
    asio::awaitable<std::error_code> waitReadable(TimePoint deadline);

    /** Reads what has arrived without waiting; operation_would_block when there is nothing. */
    std::error_code readNow(asio::mutable_buffer buffer, std::size_t &n);

    /** Writes all buffers; @p n receives the number of bytes handed to the kernel, also after an error. */
    asio::awaitable<std::error_code> write(std::span<const asio::const_buffer> buffers,
                                           TimePoint deadline,
                                           std::size_t &n);

    /** Calls @p gone once if the peer closes the connection before stopWatching(). */
    void watchDisconnect(std::function<void()> gone);
    void stopWatching();

    /** Makes the running operation, and no later one, fail with operation_aborted. */
    void cancel();

    /** Sends a reset instead of an orderly end, so that the peer cannot take the stream for complete. */
    void abort();
    void close();
    void shutdownSend();

    /** Whether the peer has sent nothing and has not closed the connection. */
    bool isQuiet();

    asio::ip::tcp::socket &socket();

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace Hornbeam
