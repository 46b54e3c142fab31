#pragma once

#include "callerwatch.h"
#include "httpstream.h"
#include "responseorder.h"

namespace Hornbeam {

/** The parts of a caller's connection that its exchanges share. */
struct CallerChannel
{
    HttpStream &stream;
    ResponseOrder &order;
    BufferPool::Share headShare; ///< Of the head that is being read.
    TimePoint received{}; ///< When the head of the last request was complete.
    bool closing = false; ///< A response has announced the end of the connection, so no further request is accepted.
};

/** A request on a caller's connection and the place of its response in the order of the connection's responses. */
class CallerExchange
{
public:
    /**
     * Takes the head of the request that @p channel has read. @p pipelined: the connection may read and serve further
     * requests before this one is answered, so the request must be complete.
     */
    CallerExchange(CallerChannel &channel, bool pipelined);
    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;
    ~CallerExchange();

    const HttpHead &head() const
    {
        return m_head;
    }

    /** The connection, for reading the body of a request that is not pipelined. */
    HttpStream &stream()
    {
        return m_channel.stream;
    }

    CallerWatch &watch()
    {
        return m_watch;
    }

    /** When the head of the request was complete. */
    TimePoint received() const
    {
        return m_received;
    }

    bool isPipelined() const
    {
        return m_pipelined;
    }

    /** Waits until all earlier responses of the connection have been written. */
    asio::awaitable<void> waitForTurn();

    /** Whether the response had to wait for earlier ones of the connection. */
    bool hasWaitedForTurn() const
    {
        return m_minDeadline != TimePoint::min();
    }

    /**
     * Decides whether the connection stays open after the response, whose turn it must be. Returns true if further
     * requests have been accepted, because their responses follow; otherwise @p wanted. After a result of false, the
     * connection accepts no further request.
     */
    bool decideKeepAlive(bool wanted);

    /**
     * Writes a part of the response in its turn; the time for earlier responses does not count towards @p deadline, so
     * that a complete response is also delivered late.
     */
    asio::awaitable<std::error_code> write(std::span<const asio::const_buffer> buffers, TimePoint deadline);

    /** Ends the exchange in its turn. */
    asio::awaitable<void> finish();

private:
    CallerChannel &m_channel;
    const bool m_pipelined;
    const std::uint64_t m_position;
    const TimePoint m_received;
    HttpHead m_head;
    BufferPool::Share m_headShare;
    CallerWatch m_watch;
    TimePoint m_minDeadline = TimePoint::min(); ///< Of the writes, if the response had to wait for earlier ones.
};

} // namespace Hornbeam
