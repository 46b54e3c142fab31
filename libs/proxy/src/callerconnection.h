#pragma once

#include "callcontext.h"

#include <memory>

namespace Hornbeam {

/** Serves one connection of a caller or of another node; its requests are handled one after the other. */
class CallerConnection
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

private:
    asio::awaitable<bool> serve();
    CallEnvironment environment(const RoutingStatePtr &state);
    asio::awaitable<bool> serveRoute(const RoutingStatePtr &state, const Route &route);
    asio::awaitable<bool> serveRelayed(const RoutingStatePtr &state, const RelayRequest &relay);
    asio::awaitable<bool> serveCall(CallContext &call);
    Duration idleTimeout() const;
    asio::awaitable<bool> prepare(CallContext &call);
    asio::awaitable<bool> refuse(Refusal refusal, std::uint64_t version);
    asio::awaitable<void> refuseUnreadable(ReadResult result);
    asio::awaitable<void> lingeringClose();

    ServerCore &m_core;
    UpstreamPool &m_pool;
    const std::shared_ptr<asio::io_context> &m_context;
    HttpStream m_stream;
    const CallOrigin m_origin;
    bool m_idle = false;
};

} // namespace Hornbeam
