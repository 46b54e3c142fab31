#pragma once

#include "targetoptions.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hornbeam {

/** Accepts connections and counts requests and their executions. Single-threaded. */
class TargetServer
{
public:
    /** Binds the listening socket. Throws std::system_error when that fails. The options must outlive the server. */
    TargetServer(asio::io_context &context, const TargetOptions &options);

    /** Returns the listening address as "IP:PORT", with the port that was bound. */
    std::string address() const;

    /** Starts accepting connections. */
    void start();

    /**
     * Starts draining: closes each connection after its next response, and stops the context when no request is running
     * and the leave time has passed. New requests are served until then.
     */
    void leave();

    bool leaving() const
    {
        return m_leaving;
    }

    /** Counts the start of a request. Returns false when the request has to be shed. */
    bool beginRequest();
    void endRequest();

    /** Counts an execution of the request @p key and returns the new count; returns 0 for an empty key. */
    std::uint64_t countExecution(const std::string &key);

    /**
     * Reserves the worker that is free first for a request of this duration and returns the time at which the request
     * ends. The worker stays reserved if the caller gives up, as in a server that does not notice a cancellation.
     */
    std::chrono::steady_clock::time_point reserveWorker(std::chrono::milliseconds duration);

    /** Returns the extra duration of a request that starts now. */
    std::chrono::milliseconds coldStartDelay() const;

    /** Returns the counters as JSON. */
    std::string stats() const;

private:
    asio::awaitable<void> accept();
    void exitWhenIdle();

    asio::io_context &m_context;
    const TargetOptions &m_options;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_exitTimer;
    std::vector<std::chrono::steady_clock::time_point> m_workersFreeAt; ///< One per worker; empty without a limit.
    std::chrono::steady_clock::time_point m_started;
    std::chrono::steady_clock::time_point m_leaveStarted;
    std::map<std::string, std::uint64_t> m_executions; ///< By request key.
    std::uint64_t m_requests = 0;
    std::uint64_t m_shedRequests = 0;
    std::uint32_t m_runningRequests = 0;
    std::uint32_t m_peakRunningRequests = 0;
    bool m_leaving = false;
};

} // namespace Hornbeam
