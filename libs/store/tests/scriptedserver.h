#pragma once

#include <hornbeam/base/endpoint.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Hornbeam {

struct ScriptedRequest
{
    std::string path;
    std::string body;
    std::string peerAddress;
};

struct ScriptedReply
{
    std::string bytes{}; ///< The response, sent unchanged; nothing is sent when empty.
    bool close = false; ///< Close the connection after the response.
    bool reset = false; ///< Reset it instead.
};

/** Returns the bytes of a response with status 200 and a Content-Length. */
std::string okResponse(const std::string &body);

/** An HTTP server for tests. Its handler runs on the server's thread and returns the bytes of each response. */
class ScriptedServer
{
public:
    using Handler = std::function<ScriptedReply(const ScriptedRequest &)>;

    /** What is read of a request before the handler is called. */
    enum class Reads {
        Whole,
        Head, ///< The body stays on the connection.
    };

    explicit ScriptedServer(Handler handler, Reads reads = Reads::Whole);
    ~ScriptedServer();

    Endpoint endpoint() const;

    std::uint64_t bytesReceived() const
    {
        return m_bytesReceived;
    }

    std::uint64_t bytesSent() const
    {
        return m_bytesSent;
    }

    std::uint32_t requests() const
    {
        return m_requests;
    }

private:
    class Connection;

    void accept();

    Handler m_handler;
    Reads m_reads;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::uint64_t> m_bytesReceived = 0;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint32_t> m_requests = 0;
    std::thread m_thread;
};

} // namespace Hornbeam
