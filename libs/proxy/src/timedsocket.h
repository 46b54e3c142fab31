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
 * A TCP socket whose operations fail with std::errc::timed_out at a deadline, unless they have succeeded when a delayed
 * thread notices it. One read and one write may be pending at the same time, besides watchDisconnect(); if one of them
 * times out, the other fails with operation_aborted. After a reset by the peer, a read of the bytes that came before it
 * ends with connection_reset, never with eof. Use it only on the thread that runs its executor.
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

    /** Waits until the peer has sent data or closed the connection. */
    asio::awaitable<std::error_code> waitReadable(TimePoint deadline);

    /** Changes the deadline of the pending read; no effect without one. */
    void setReadDeadline(TimePoint deadline);

    /** Reads without waiting; fails with would_block if no data has arrived. */
    std::error_code readNow(asio::mutable_buffer buffer, std::size_t &n);

    /** Writes all buffers; @p n receives the number of bytes passed to the kernel, even after an error. */
    asio::awaitable<std::error_code> write(std::span<const asio::const_buffer> buffers,
                                           TimePoint deadline,
                                           std::size_t &n);

    /** Calls @p onDisconnect once if the peer closes the connection before stopWatching() is called. */
    void watchDisconnect(std::function<void()> onDisconnect);
    void stopWatching();

    /** Makes the pending operations fail with operation_aborted; later ones are not affected. */
    void cancel();

    /** Closes with a reset instead of a FIN, so that the peer cannot mistake the stream for complete. */
    void abort();
    void close();
    void shutdownSend();

    /** Whether the connection is open and has no data to read. */
    bool isOpenAndIdle();

    asio::ip::tcp::socket &socket();

private:
    class Operation;
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace Hornbeam
