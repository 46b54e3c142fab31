#pragma once

#include "callerconnection.h"
#include "servercore.h"
#include "upstreampool.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace Hornbeam {

/** A worker thread with its own io_context, listening sockets, accepted connections and upstream connection pool. */
class TrafficThread
{
public:
    explicit TrafficThread(ServerCore &core);
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;
    ~TrafficThread();

    /**
     * Binds a listening socket for requests of @p origin. Threads that listen on the same address share the port.
     * Stores the bound address in @p endpoint. Call it before start().
     */
    std::error_code listen(asio::ip::tcp::endpoint &endpoint, CallOrigin origin);

    void start();

    /** Stops the thread; requests in progress are dropped. */
    void stop();

    /** Waits for the stop notice, accepts pending connections, stops listening and closes idle ones. Any thread. */
    void drain();

    /** Logs the requests in progress and then calls @p reported on this thread. Any thread. */
    void reportInterrupted(std::function<void()> reported);

    /** Limits the deadlines of requests in progress that a node which stops has relayed. Any thread. */
    void limitDeadlines(const std::string &nodeId);

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
    /** Closes connections of @p origin that wait for a request, so that new ones can be accepted. */
    void makeRoom(CallOrigin origin);
    void serve(asio::ip::tcp::socket socket, CallOrigin origin);
    void stopListening();
    void acceptPending(Listener &listener);
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
