#pragma once

#include "callerconnection.h"
#include "servercore.h"
#include "upstreampool.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <system_error>
#include <thread>
#include <vector>

namespace Hornbeam {

/** One traffic thread: its own io_context, listening socket, callers' connections and upstream pool. */
class TrafficThread
{
public:
    explicit TrafficThread(ServerCore &core);
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;
    ~TrafficThread();

    /**
     * Binds a listening socket for requests of that origin, which shares its port with the other threads; returns the
     * bound address in @p endpoint. Call it before start().
     */
    std::error_code listen(asio::ip::tcp::endpoint &endpoint, CallOrigin origin);

    void start();

    /** Ends the thread; running requests are dropped. */
    void stop();

    /** Accepts what already waits, then nothing more, and closes idle connections. Any thread. */
    void drain();

    /** Closes idle upstream connections, see UpstreamPool::closeOlder(). Any thread. */
    void closeOlder(const Endpoint &target, TimePoint since);

    /** Runs @p work on this thread after @p delay. Any thread. */
    void runAfter(Duration delay, std::function<void()> work);

private:
    struct Listener
    {
        asio::ip::tcp::acceptor acceptor;
        CallOrigin origin = CallOrigin::Caller;
    };

    asio::awaitable<void> accept(Listener &listener);
    asio::awaitable<void> sleep(Duration duration);
    bool acceptOne(Listener &listener);
    void serve(asio::ip::tcp::socket socket, CallOrigin origin);
    void stopListening();
    void acceptWaiting(Listener &listener);
    void closeIdleConnections();
    void purgePool();

    ServerCore &m_core;
    std::shared_ptr<asio::io_context> m_context;
    UpstreamPool m_pool;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    std::thread m_thread;
};

} // namespace Hornbeam
