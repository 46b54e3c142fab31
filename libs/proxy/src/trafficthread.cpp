#include "trafficthread.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace Hornbeam {

namespace {

/** Time until accepting is tried again at the connection limit or after an error. */
constexpr auto acceptRetryPeriod = std::chrono::milliseconds(5);

constexpr auto idleCheckPeriod = std::chrono::milliseconds(50);
constexpr auto purgePeriod = std::chrono::seconds(5);

/** Lets several sockets listen on one port; the kernel distributes new connections among them. */
std::error_code sharePort(asio::ip::tcp::acceptor &acceptor)
{
    const int on = 1;
    const int result = ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    return result == 0 ? std::error_code() : std::error_code(errno, std::system_category());
}

} // namespace

TrafficThread::TrafficThread(ServerCore &core)
    : m_core(core)
    , m_context(std::make_shared<asio::io_context>(1))
    , m_pool({})
{
}

TrafficThread::~TrafficThread()
{
    stop();
    m_connections.clear();
    m_pool.clear();
    m_listeners.clear();
    // Another thread may briefly hold a reference while it posts work to the context.
    while (m_context.use_count() > 1) {
        std::this_thread::yield();
    }
    m_context.reset();
}

std::error_code TrafficThread::listen(asio::ip::tcp::endpoint &endpoint, CallOrigin origin)
{
    auto listener = std::make_unique<Listener>(Listener{asio::ip::tcp::acceptor(*m_context), origin});
    auto &acceptor = listener->acceptor;
    std::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        ec = sharePort(acceptor);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.non_blocking(true, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (!ec) {
        endpoint = acceptor.local_endpoint(ec);
    }
    m_listeners.push_back(std::move(listener));
    return ec;
}

void TrafficThread::start()
{
    ++m_core.listeningThreads;
    for (const auto &listener : m_listeners) {
        asio::co_spawn(*m_context, accept(*listener), asio::detached);
    }
    runAfter(purgePeriod, [this] { purgePool(); });
    m_thread = std::thread([this] { m_context->run(); });
}

void TrafficThread::stop()
{
    m_context->stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

asio::awaitable<void> TrafficThread::accept(Listener &listener)
{
    while (listener.acceptor.is_open()) {
        std::error_code ec;
        co_await listener.acceptor.async_wait(asio::socket_base::wait_read,
                                              asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        // At the connection limit, new connections wait in the listen backlog.
        if (ec || !acceptOne(listener)) {
            co_await sleep(acceptRetryPeriod);
        }
    }
}

asio::awaitable<void> TrafficThread::sleep(Duration duration)
{
    asio::steady_timer timer(*m_context, duration);
    std::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

bool TrafficThread::acceptOne(Listener &listener)
{
    const bool peer = listener.origin == CallOrigin::Peer;
    auto &count = peer ? m_core.peerConnections : m_core.connections;
    if (count.fetch_add(1) >= (peer ? m_core.maxPeerConnections : m_core.maxCallerConnections)) {
        --count;
        makeRoom(listener.origin);
        return false;
    }
    std::error_code ec;
    auto socket = listener.acceptor.accept(ec);
    if (ec) {
        --count;
        if (ec == asio::error::no_descriptors || ec == std::errc::too_many_files_open_in_system) {
            makeRoom(listener.origin);
        }
        return ec == asio::error::would_block || ec == asio::error::connection_aborted;
    }
    serve(std::move(socket), listener.origin);
    return true;
}

void TrafficThread::makeRoom(CallOrigin origin)
{
    std::vector<CallerConnection *> connections;
    std::vector<ConnectionActivity> activities;
    for (const auto &connection : m_connections) {
        if (connection->origin() == origin) {
            connections.push_back(connection.get());
            activities.push_back(connection->activity());
        }
    }
    const bool peer = origin == CallOrigin::Peer;
    const auto limit = peer ? m_core.maxPeerConnections : m_core.maxCallerConnections;
    for (const auto i : ConnectionLimits::toClose(activities, limit, std::chrono::steady_clock::now())) {
        m_core.limitReports.reached(ClientLimit::Connections, 0, peer);
        connections[i]->closeForRoom();
    }
}

void TrafficThread::serve(asio::ip::tcp::socket socket, CallOrigin origin)
{
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto connection =
        std::make_shared<CallerConnection>(m_core, m_pool, m_context, TimedSocket(std::move(socket)), origin);
    m_connections.insert(connection);
    asio::co_spawn(*m_context, connection->run(), [this, connection](const std::exception_ptr & /*error*/) {
        m_connections.erase(connection);
    });
}

void TrafficThread::drain()
{
    // Callers that have not learned of the shutdown still connect, and requests are in transit.
    runAfter(m_core.options.stopNotice, [this] {
        stopListening();
        closeIdleConnections();
    });
    runAfter(m_core.stopDeadline() - std::chrono::steady_clock::now(), [this] {
        for (const auto &connection : m_connections) {
            connection->endWaits();
        }
    });
}

void TrafficThread::stopListening()
{
    for (const auto &listener : m_listeners) {
        acceptPending(*listener);
    }
    --m_core.listeningThreads;
}

void TrafficThread::acceptPending(Listener &listener)
{
    // Closing the listening socket resets the connections in its backlog, so they are accepted first.
    std::error_code ec;
    while (!ec) {
        auto socket = listener.acceptor.accept(ec);
        if (!ec) {
            ++(listener.origin == CallOrigin::Peer ? m_core.peerConnections : m_core.connections);
            serve(std::move(socket), listener.origin);
        }
    }
    listener.acceptor.close(ec);
}

void TrafficThread::closeIdleConnections()
{
    for (const auto &connection : m_connections) {
        connection->closeIfIdle();
    }
    runAfter(idleCheckPeriod, [this] { closeIdleConnections(); });
}

void TrafficThread::reportInterrupted(std::function<void()> reported)
{
    asio::post(*m_context, [this, reported = std::move(reported)] {
        for (const auto &connection : m_connections) {
            connection->reportInterrupted();
        }
        reported();
    });
}

void TrafficThread::limitDeadlines(const std::string &nodeId)
{
    asio::post(*m_context, [this, nodeId] {
        auto end = TimePoint::max();
        for (const auto &connection : m_connections) {
            end = std::min(end, connection->limitDeadlines(nodeId));
        }
        if (end == TimePoint::max()) {
            return;
        }
        // A refusal has to reach the node before its stop ends.
        runAfter(end - 2 * ServerCore::stopReserve - std::chrono::steady_clock::now(), [this, nodeId] {
            for (const auto &connection : m_connections) {
                connection->endWaits(nodeId);
            }
        });
    });
}

void TrafficThread::closeOlder(const Endpoint &target, TimePoint since)
{
    asio::post(*m_context, [this, target, since] { m_pool.closeOlder(target, since); });
}

void TrafficThread::purgePool()
{
    m_pool.closeExpired(std::chrono::steady_clock::now());
    runAfter(purgePeriod, [this] { purgePool(); });
}

void TrafficThread::runAfter(Duration delay, std::function<void()> work)
{
    const auto timer = std::make_shared<asio::steady_timer>(*m_context, delay);
    timer->async_wait([timer, work = std::move(work)](const std::error_code &ec) {
        if (!ec) {
            work();
        }
    });
}

} // namespace Hornbeam
