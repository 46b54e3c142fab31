#include "timedsocket.h"

#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace Hornbeam {

/** Bounds one pending operation of a socket. */
class TimedSocket::Operation
{
public:
    explicit Operation(asio::ip::tcp::socket &socket)
        : m_socket(socket)
        , m_timer(socket.get_executor())
    {
    }

    /** Starts an operation. Rearms the timer only if it would fire too late, which avoids most timer operations. */
    void begin(const std::shared_ptr<State> &state, TimePoint deadline)
    {
        m_expired = false;
        m_pending = true;
        setDeadline(state, deadline);
    }

    std::error_code end(const std::error_code &ec)
    {
        m_pending = false;
        m_deadline = TimePoint::max();
        return m_expired ? std::make_error_code(std::errc::timed_out) : ec;
    }

    bool isPending() const
    {
        return m_pending;
    }

    void setDeadline(const std::shared_ptr<State> &state, TimePoint deadline)
    {
        m_deadline = deadline;
        if (deadline != TimePoint::max() && (!m_armed || m_armedUntil > deadline)) {
            arm(state);
        }
    }

    void cancelTimer()
    {
        m_timer.cancel();
    }

private:
    /** The timer must not prolong the life of the socket, so it only holds a weak reference to @p state. */
    void arm(const std::weak_ptr<State> &state)
    {
        m_armed = true;
        m_armedUntil = m_deadline;
        const auto generation = ++m_generation;
        m_timer.expires_at(m_deadline);
        m_timer.async_wait([this, state, generation](const std::error_code & /*ec*/) {
            const auto alive = state.lock();
            if (alive && m_generation == generation) {
                fire(state);
            }
        });
    }

    void fire(const std::weak_ptr<State> &state)
    {
        m_armed = false;
        if (m_deadline == TimePoint::max()) {
            return;
        }
        if (m_deadline > std::chrono::steady_clock::now()) {
            arm(state);
            return;
        }
        // An operation that has succeeded may be behind this handler in the queue; it is not late.
        asio::post(m_socket.get_executor(), [this, state, generation = m_generation] {
            const auto alive = state.lock();
            // A later deadline would have armed the timer again.
            if (alive && m_generation == generation && m_deadline != TimePoint::max()) {
                expire();
            }
        });
    }

    void expire()
    {
        m_expired = true;
        std::error_code ignored;
        m_socket.cancel(ignored);
    }

    asio::ip::tcp::socket &m_socket;
    asio::steady_timer m_timer;
    TimePoint m_deadline = TimePoint::max();
    TimePoint m_armedUntil;
    std::uint64_t m_generation = 0;
    bool m_armed = false;
    bool m_expired = false;
    bool m_pending = false;
};

struct TimedSocket::State
{
    explicit State(asio::ip::tcp::socket peer)
        : socket(std::move(peer))
        , reading(socket)
        , writing(socket)
    {
    }

    /** The result of a read: the kernel reports a reset once, so after a write that got it, reads see a normal end. */
    std::error_code readResult(const std::error_code &ec) const
    {
        return ec == asio::error::eof && resetByPeer ? asio::error::connection_reset : ec;
    }

    asio::ip::tcp::socket socket;
    Operation reading;
    Operation writing;
    std::uint64_t watchId = 0;
    bool resetByPeer = false; ///< A write has failed because of a reset.
};

TimedSocket::TimedSocket(asio::ip::tcp::socket socket)
    : m_state(std::make_shared<State>(std::move(socket)))
{
}

TimedSocket::~TimedSocket()
{
    if (m_state) {
        close();
        m_state->reading.cancelTimer();
        m_state->writing.cancelTimer();
    }
}

asio::awaitable<std::error_code> TimedSocket::connect(const asio::ip::tcp::endpoint &peer, TimePoint deadline)
{
    const auto state = m_state;
    std::error_code ec;
    state->writing.begin(state, deadline);
    co_await state->socket.async_connect(peer, asio::redirect_error(asio::use_awaitable, ec));
    ec = state->writing.end(ec);
    if (!ec) {
        state->socket.set_option(asio::ip::tcp::no_delay(true), ec);
    }
    co_return ec;
}

asio::awaitable<std::error_code> TimedSocket::readSome(asio::mutable_buffer buffer, TimePoint deadline, std::size_t &n)
{
    const auto state = m_state;
    std::error_code ec;
    state->reading.begin(state, deadline);
    n = co_await state->socket.async_read_some(buffer, asio::redirect_error(asio::use_awaitable, ec));
    co_return state->reading.end(state->readResult(ec));
}

asio::awaitable<std::error_code> TimedSocket::waitReadable(TimePoint deadline)
{
    const auto state = m_state;
    std::error_code ec;
    state->reading.begin(state, deadline);
    co_await state->socket.async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    co_return state->reading.end(ec);
}

void TimedSocket::setReadDeadline(TimePoint deadline)
{
    if (m_state->reading.isPending()) {
        m_state->reading.setDeadline(m_state, deadline);
    }
}

std::error_code TimedSocket::readNow(asio::mutable_buffer buffer, std::size_t &n)
{
    const auto result = ::recv(m_state->socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    n = result > 0 ? static_cast<std::size_t>(result) : 0;
    if (result > 0) {
        return {};
    }
    if (result == 0) {
        return m_state->readResult(asio::error::eof);
    }
    return {errno, asio::error::get_system_category()};
}

asio::awaitable<std::error_code> TimedSocket::write(std::span<const asio::const_buffer> buffers,
                                                    TimePoint deadline,
                                                    std::size_t &n)
{
    const auto state = m_state;
    std::error_code ec;
    state->writing.begin(state, deadline);
    n = co_await asio::async_write(state->socket, buffers, asio::redirect_error(asio::use_awaitable, ec));
    // A reset that follows the end of the peer's stream is reported as broken_pipe: everything before it has arrived.
    state->resetByPeer = state->resetByPeer || ec == asio::error::connection_reset;
    co_return state->writing.end(ec);
}

void TimedSocket::watchDisconnect(std::function<void()> onDisconnect)
{
    const auto watchId = ++m_state->watchId;
    // After stopWatching(), the wait stays pending; it completes with the next data from the peer and has no effect.
    m_state->socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [weak = std::weak_ptr(m_state), watchId, onDisconnect = std::move(onDisconnect)](const std::error_code &ec) {
            const auto state = weak.lock();
            if (ec || !state || state->watchId != watchId) {
                return;
            }
            char byte = 0;
            const auto n = ::recv(state->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
                onDisconnect();
            }
        });
}

void TimedSocket::stopWatching()
{
    ++m_state->watchId;
}

void TimedSocket::cancel()
{
    std::error_code ignored;
    m_state->socket.cancel(ignored);
}

void TimedSocket::abort()
{
    std::error_code ignored;
    m_state->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_state->socket.close(ignored);
}

void TimedSocket::close()
{
    std::error_code ignored;
    m_state->socket.close(ignored);
}

void TimedSocket::shutdownSend()
{
    std::error_code ignored;
    m_state->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

bool TimedSocket::isOpenAndIdle()
{
    char byte = 0;
    const auto n = ::recv(m_state->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::ip::tcp::socket &TimedSocket::socket()
{
    return m_state->socket;
}

} // namespace Hornbeam
