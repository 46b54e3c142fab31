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

/** Accepts connections and counts what ran. Single-threaded. */
class TargetServer
{
public:
    /** Binds the listening socket; throws std::system_error when that fails. */
    TargetServer(asio::io_context &context, const TargetOptions &options);

    /** "IP:PORT" with the port in use. */
    std::string address() const;

    void start();

    /** Keeps serving, closes connections after their response, and stops the context when no request is left. */
    void leave();

    bool leaving() const
    {
        return m_leaving;
    }

    /** Counts the start of a request; false when it is to be shed. */
    bool beginRequest();
    void endRequest();

    /** Counts one execution under @p key and returns how often that key has run. An empty key is not counted. */
    std::uint64_t countExecution(const std::string &key);

    /**
     * Takes the worker that is free first for a request of this duration and returns when the request ends. Requests
     * whose callers gave up keep their worker, as in a server that does not notice a cancellation.
     */
    std::chrono::steady_clock::time_point occupyWorker(std::chrono::milliseconds duration);

    /** Extra duration of a request that starts now. */
    std::chrono::milliseconds coldStartDelay() const;

    /** The statistics as JSON. */
    std::string stats() const;

private:
    asio::awaitable<void> accept();
    void scheduleExit();

    asio::io_context &m_context;
    const TargetOptions &m_options;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_exitTimer;
    std::vector<std::chrono::steady_clock::time_point> m_workersFreeAt; ///< Empty without a bound of workers.
    std::chrono::steady_clock::time_point m_started;
    std::chrono::steady_clock::time_point m_leaveStarted;
    std::map<std::string, std::uint64_t> m_executions;
    std::uint64_t m_requests = 0;
    std::uint64_t m_shed = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_peak = 0;
    bool m_leaving = false;
};

} // namespace Hornbeam
