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

/** Short text for logs. */
const char *attemptStatusName(AttemptStatus status);

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

    /**
     * Reads the rest of the response if it has at most @p limit bytes; a longer one stays to be streamed. Returns
     * Response, or why the response is not complete.
     */
    asio::awaitable<AttemptStatus> readWhole(std::size_t limit);

    /** The load of the target, for the node that sent the request. */
    LoadReport report() const;

    /** Opens a connection to @p target; true when nothing listens there. The connection is kept for later requests. */
    asio::awaitable<bool> isRefusedBy(const Endpoint &target);

    /** Whether nothing listened at the target's address. */
    bool isRefused() const
    {
        return m_refused;
    }

    /** HTTP status of the response; 0 without one. */
    int responseStatus() const;

    /** Whether the response states that the request did not run and will not. */
    bool statesNotRun() const;

    /** Whether the request got as far as the target, although the target refused it. */
    bool reachedTarget() const;

    /** Whether a service that the request calls while it runs is the cause of a failure. */
    bool dependencyFailed() const
    {
        return m_dependencyFailed;
    }

    /** Whether the response was made by the target's node because the target gave none. */
    bool isFailureOfPeer() const;

    /** Whether the target may have received any part of the request. */
    bool hasSent() const
    {
        return m_sentBytes > 0;
    }

    /** Makes the connection available for other requests if the response was read completely. */
    void finish();

private:
    asio::awaitable<bool> open(const Endpoint &target);
    std::string formatHead() const;
    void appendHopHeaders(std::string &out) const;
    void takeReport();
    void endRun();
    bool isGenuine(const HttpHead &response) const;
    bool answersOther(const HttpHead &response) const;
    asio::awaitable<bool> skipResponse();
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
    bool m_refused = false;
    bool m_runs = false; ///< The request is listed as running at a target of this host.
    bool m_reachedTarget = false;
    bool m_dependencyFailed = false;
};

} // namespace Hornbeam
