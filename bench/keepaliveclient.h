#pragma once

#include <hornbeam/base/endpoint.h>

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** The parts of a response that the benchmark looks at. */
struct CallResponse
{
    int status = 0; ///< 0 when no complete response arrived in time.
    std::uint64_t version = 0; ///< X-Hornbeam-Version.
};

/**
 * Sends GET requests one after the other on one connection, which it opens when it has none.
 * One thread runs the context; the client outlives the coroutines that use it.
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
