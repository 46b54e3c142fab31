#pragma once

#include "callcontext.h"
#include "slotlease.h"
#include "upstreamconnection.h"

namespace Hornbeam {

/** Result of one attempt, before any part of a response is forwarded. */
enum class AttemptStatus {
    Response, ///< The head of the response has been read, see stream().reader().
    ConnectFailed, ///< No connection; nothing was sent.
    DeadlinePassed, ///< The deadline had passed before sending; nothing was sent.
    NodeStops, ///< This node stops before a response is expected; nothing was sent.
    NotReceived, ///< The target closed the reused connection before it received the request.
    Silent, ///< No response within the attempt timeout.
    Expired, ///< No response before the request's deadline; not counted as a failure of the target.
    Broken, ///< The target closed the connection while it was running the request.
    BadResponse, ///< The response is malformed or not authentic, or nothing marks the end of its body.
    CallerFailed, ///< The caller disconnected, or its request body is malformed or too large.
};

/** Short name of @p status for log entries. */
const char *attemptStatusName(AttemptStatus status);

/** One attempt to run a request on one target: sends the request and reads the response. */
class UpstreamExchange
{
public:
    UpstreamExchange(CallContext &call, SlotLease lease);
    UpstreamExchange(const UpstreamExchange &) = delete;
    UpstreamExchange &operator=(const UpstreamExchange &) = delete;
    ~UpstreamExchange();

    /** Takes an idle connection from the pool, or opens a new one. @p fresh: always opens a new one. */
    asio::awaitable<bool> connect(bool fresh);

    /**
     * Sends the request and reads the head of the response. Checks the deadline, and the end of a stop of this node,
     * immediately before the first byte is sent. @p cancellable: stops when the caller disconnects.
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
     * Reads the rest of the response into memory if its body has at most @p limit bytes. The rest of a longer one is
     * left for streaming. Returns Response, or the reason why reading failed.
     */
    asio::awaitable<AttemptStatus> bufferResponse(std::size_t limit);

    /** Discards the body bytes that have been read and gives their memory back. */
    void releaseBody();

    /** Load report about the target, for the node that relayed the request to this one. */
    LoadReport report() const;

    /**
     * Tests whether the connection to @p target is refused because nothing listens there. A connection that opens goes
     * to the pool.
     */
    asio::awaitable<bool> probeConnectionRefused(const Endpoint &target);

    /** Whether the connection was refused because nothing listens at the target's address. */
    bool isConnectionRefused() const
    {
        return m_connectionRefused;
    }

    /** HTTP status of the response; 0 if there is none. */
    int responseStatus() const;

    /** Whether the target has sent a part of a response but not all of it. */
    bool hasPartialResponse() const;

    /** Whether the response states that the request was not run and will not be. */
    bool statesNotRun() const;

    /** Whether a refused request was refused by the target itself and not by the node of the target. */
    bool reachedTarget() const;

    /** Whether the failure was caused by a service that the request calls while it runs. */
    bool dependencyFailed() const
    {
        return m_dependencyFailed;
    }

    /** Whether the target's node generated the response itself instead of relaying one from the target. */
    bool isFailureOfPeer() const;

    /** Whether the target may have received any part of the request. */
    bool hasSent() const
    {
        return m_sentBytes > 0;
    }

    /** Returns the connection to the pool if the exchange is complete and the connection can be reused. */
    void finish();

private:
    asio::awaitable<bool> open(const Endpoint &target);
    std::string formatHead() const;
    void appendHopHeaders(std::string &out) const;
    void recordLoadReport();
    void endTracking();
    bool isAuthentic(const HttpHead &response) const;
    bool answersAnotherRequest(const HttpHead &response) const;

    /** Whether the response has the id of the request, or the request has none. */
    bool identifiesRequest(const HttpHead &response) const;

    /** Whether the response promises "not run" without the target having said so of this request. */
    bool promisesTooMuch(const HttpHead &response) const;
    asio::awaitable<bool> skipStrayResponse(TimePoint deadline);
    asio::awaitable<AttemptStatus> send();
    asio::awaitable<AttemptStatus> streamBody(bool chunked);
    asio::awaitable<AttemptStatus> readHead();
    asio::awaitable<bool> write(std::span<const asio::const_buffer> buffers);
    bool makeRoom(std::size_t limit);
    AttemptStatus statusOf(ReadResult result) const;
    AttemptStatus handleTimeout();
    TimePoint attemptDeadline() const;

    CallContext &m_call;
    SlotLease m_lease;
    UpstreamConnectionPtr m_connection;
    TimePoint m_sendStarted;
    std::uint64_t m_acknowledgedBeforeSend = 0;
    std::uint64_t m_sentBytes = 0;
    BufferPool::Share m_responseShare; ///< Memory for the body of a response that is kept until it is complete.
    bool m_bodySent = false;
    bool m_connectionRefused = false;
    bool m_tracked = false; ///< The request is in ServerCore::running.
    bool m_reachedTarget = false;
    bool m_dependencyFailed = false;
};

} // namespace Hornbeam
