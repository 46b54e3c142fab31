#pragma once

#include "callcontext.h"
#include "connectionlimits.h"

#include <memory>
#include <vector>

namespace Hornbeam {

/**
 * Serves one connection of a caller or of another node. Idempotent requests without a body that a caller pipelines are
 * served side by side, up to a bound above which the connection stops reading. Any other request is served alone, after
 * the requests before it and before the requests behind it.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /** @p context: the io_context of the thread that owns the connection. */
    CallerConnection(ServerCore &core,
                     UpstreamPool &pool,
                     const std::shared_ptr<asio::io_context> &context,
                     TimedSocket socket,
                     CallOrigin origin);
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;
    ~CallerConnection();

    /** Serves requests until the connection ends. */
    asio::awaitable<void> run();

    /** Closes the connection if it is waiting for a request and no byte of it has arrived. */
    void closeIfIdle();

    /** What the connection waits for. */
    ConnectionActivity activity();

    /** Closes the connection, which waits for a request or for its body, for the sake of another one. */
    void closeForRoom();

    CallOrigin origin() const
    {
        return m_origin;
    }

    /** Logs and counts the requests in progress, which the end of the process interrupts. */
    void reportInterrupted() const;

    /** Ends the waits of requests that have not been sent, shortly before the process stops. */
    void endWaits();

    /**
     * Limits the deadlines of requests in progress that the node with this id, which stops, has relayed. Returns the
     * end of its stop; the maximum if it has relayed none of them.
     */
    TimePoint limitDeadlines(const std::string &nodeId);

    /** Ends the waits for a slot of requests that the node with this id has relayed. */
    void endWaits(const std::string &nodeId);

private:
    class InFlight;
    class ActiveCall;

    asio::awaitable<bool> readRequest();
    asio::awaitable<void> accept();
    bool mayPipeline();
    std::size_t maxInFlight() const;
    void serveInBackground(RoutingStatePtr state);
    asio::awaitable<void> serve(RoutingStatePtr state, CallerExchange &exchange);
    asio::awaitable<bool> respond(const RoutingStatePtr &state, CallerExchange &exchange);
    /** Ends the connection and cancels the pipelined requests in flight, whose responses cannot be delivered. */
    void abandon();
    CallEnvironment environment(const RoutingStatePtr &state, CallerExchange &exchange);
    AccountDecision resolveAccount(const RoutingState &state, const HttpHead &head, const Route &route) const;
    asio::awaitable<bool> serveRoute(const RoutingStatePtr &state, CallerExchange &exchange, const Route &route);
    asio::awaitable<bool> serveRelayed(const RoutingStatePtr &state,
                                       CallerExchange &exchange,
                                       const RelayRequest &relay);
    asio::awaitable<bool> serveCall(CallContext &call);
    TimePoint idleDeadline() const;
    Duration headTime(const TrafficLimits &limits) const;
    std::size_t maxHeaderBytes(const TrafficLimits &limits) const;
    asio::awaitable<bool> prepare(CallContext &call);
    asio::awaitable<bool> refuse(CallerExchange &exchange, Refusal refusal, std::uint64_t version);
    asio::awaitable<void> refuseUnreadable(ReadResult result);
    asio::awaitable<void> lingeringClose();

    ServerCore &m_core;
    UpstreamPool &m_pool;
    const std::shared_ptr<asio::io_context> &m_context;
    HttpStream m_stream;
    ResponseOrder m_order;
    CallerChannel m_channel;
    std::vector<CallerExchange *> m_pipelined; ///< The exchanges that are served in the background.
    std::vector<CallContext *> m_calls; ///< The requests in progress that match a route.
    const CallOrigin m_origin;
    bool m_reading = false; ///< Waiting for the head of a request.
    bool m_readingBody = false; ///< Waiting for the body of a request that is not sent to a target yet.
    bool m_hasServed = false; ///< A request has been accepted.
    bool m_closedForRoom = false;
    TimePoint m_waitingSince; ///< Of m_reading or m_readingBody.
    bool m_hasPipelined = false; ///< The caller has sent a request before the one before it was answered.
};

} // namespace Hornbeam
