#include "targetserver.h"

#include "targetconnection.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

/** Interval at which a leaving target checks whether it can exit. */
constexpr std::chrono::milliseconds exitCheckInterval(20);

} // namespace

TargetServer::TargetServer(asio::io_context &context, const TargetOptions &options)
    : m_context(context)
    , m_options(options)
    , m_acceptor(context)
    , m_exitTimer(context)
    , m_workersFreeAt(options.workers)
    , m_started(std::chrono::steady_clock::now())
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(options.listenAddress), options.listenPort);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
}

std::string TargetServer::address() const
{
    const auto endpoint = m_acceptor.local_endpoint();
    return Endpoint(endpoint.address().to_string(), endpoint.port()).toString();
}

void TargetServer::start()
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

asio::awaitable<void> TargetServer::accept()
{
    for (;;) {
        std::error_code ec;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        asio::co_spawn(m_context, serveTargetConnection(*this, std::move(socket)), asio::detached);
    }
}

void TargetServer::leave()
{
    if (!m_leaving) {
        m_leaving = true;
        m_leaveStarted = std::chrono::steady_clock::now();
        exitWhenIdle();
    }
}

void TargetServer::exitWhenIdle()
{
    const auto elapsed = std::chrono::steady_clock::now() - m_leaveStarted;
    if (m_runningRequests == 0 && elapsed >= m_options.leaveTime) {
        m_context.stop();
        return;
    }
    m_exitTimer.expires_after(exitCheckInterval);
    m_exitTimer.async_wait([this](const std::error_code &ec) {
        if (!ec) {
            exitWhenIdle();
        }
    });
}

bool TargetServer::beginRequest()
{
    ++m_requests;
    ++m_runningRequests;
    m_peakRunningRequests = std::max(m_peakRunningRequests, m_runningRequests);
    const bool shed = m_options.shedAbove != 0 && m_runningRequests > m_options.shedAbove;
    m_shedRequests += shed ? 1 : 0;
    return !shed;
}

void TargetServer::endRequest()
{
    --m_runningRequests;
}

std::uint64_t TargetServer::countExecution(const std::string &key)
{
    return key.empty() ? 0 : ++m_executions[key];
}

std::chrono::steady_clock::time_point TargetServer::reserveWorker(std::chrono::milliseconds duration)
{
    const auto now = std::chrono::steady_clock::now();
    if (m_workersFreeAt.empty()) {
        return now + duration;
    }
    const auto worker = std::min_element(m_workersFreeAt.begin(), m_workersFreeAt.end());
    *worker = std::max(*worker, now) + duration;
    return *worker;
}

std::chrono::milliseconds TargetServer::coldStartDelay() const
{
    const auto age = std::chrono::steady_clock::now() - m_started;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.coldStart - age);
    // A tenth of the remaining cold-start time, so that requests become gradually faster.
    return std::max(std::chrono::milliseconds(0), left / 10);
}

std::string TargetServer::stats() const
{
    const nlohmann::json json = {
        {"address", address()},
        {"requests", m_requests},
        {"shed", m_shedRequests},
        {"running", m_runningRequests},
        {"peak", m_peakRunningRequests},
        {"executions", nlohmann::json(m_executions)},
    };
    return json.dump();
}

} // namespace Hornbeam
