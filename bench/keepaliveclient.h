#pragma once

#include <hornbeam/base/endpoint.h>

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** The parts of a response that the benchmarks evaluate. */
struct CallResponse
{
    int status = 0; ///< 0 when no complete response arrived in time.
    std::uint64_t version = 0; ///< Value of X-Hornbeam-Version; 0 without it.
};

/**
 * Sends sequential GET requests on a keep-alive connection, which is opened on demand and again after a failure.
 * The io_context must be run by one thread, and the client must outlive the coroutines that use it.
 */
class KeepAliveClient
{
public:
    KeepAliveClient(asio::io_context &context, const Endpoint &server);

    asio::awaitable<CallResponse> get(std::string path, std::chrono::milliseconds timeout);

private:
    asio::awaitable<void> exchange(const std::string &path, CallResponse &response);

    asio::ip::tcp::endpoint m_server;
    std::string m_host;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_deadline;
    std::string m_received;
};

} // namespace Hornbeam
