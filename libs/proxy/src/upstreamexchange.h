#pragma once

#include "callcontext.h"
#include "slotlease.h"
#include "upstreamconnection.h"

namespace Hornbeam {

/** How one attempt ended before any part of a response was forwarded. */
enum class AttemptStatus {
    Response, ///< The response head is in stream().reader().
    ConnectFailed, ///< Nothing was sent.
    DeadlinePassed, ///< Nothing was sent, because the deadline had passed.
    NotReceived, ///< The target closed an idle connection before it received the request.
    Silent, ///< No response within the attempt timeout.
    Expired, ///< No response before the request's own deadline, which says nothing about the target.
    Broken, ///< The target closed the connection while it ran the request.
    BadResponse, ///< Malformed, or without a length that would prove its end.
    CallerFailed, ///< The caller disconnected or its body is malformed or too large.
};

/** One attempt to run a request on one target. */
class UpstreamExchange
{
public:
    UpstreamExchange(CallContext &call, SlotLease lease);
    UpstreamExchange(const UpstreamExchange &) = delete;
    UpstreamExchange &operator=(const UpstreamExchange &) = delete;
    ~UpstreamExchange();

    /** Opens a connection, or takes an idle one unless @p fresh. */
    asio::awaitable<bool> connect(bool fresh);

    /**
     * Sends the request and waits for the head of its response. Checks the deadline immediately before the first byte.
     * @p cancellable: stops when the caller disconnects.
     */
    asio::awaitable<AttemptStatus> run(bool cancellable);

    HttpStream &stream()
    {
        return m_connection->stream;
    }

    const SlotLease &lease() const
    {
        return m_lease;
    }

    /** Whether the target may have received any part of the request. */
    bool hasSent() const
    {
        return m_sentBytes > 0;
    }

    /** Makes the connection available for other requests if the response was read completely. */
    void finish();

private:
    std::string formatHead() const;
    asio::awaitable<AttemptStatus> send();
    asio::awaitable<AttemptStatus> streamBody(bool chunked);
    asio::awaitable<AttemptStatus> readHead();
    asio::awaitable<bool> write(std::span<const asio::const_buffer> buffers);
    AttemptStatus statusOf(ReadResult result) const;
    AttemptStatus handleTimeout();
    TimePoint attemptDeadline() const;

    CallContext &m_call;
    SlotLease m_lease;
    UpstreamConnectionPtr m_connection;
    TimePoint m_sendStarted;
    std::uint64_t m_acknowledgedBefore = 0;
    std::uint64_t m_sentBytes = 0;
    bool m_bodySent = false;
};

} // namespace Hornbeam
