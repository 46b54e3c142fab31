#pragma once

#include <hornbeam/base/endpoint.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Hornbeam {

/** An HTTP server that answers each connection with the next scripted response and repeats the last one. */
class ScriptedServer
{
public:
    /** An empty response closes the connection after the request was read. */
    explicit ScriptedServer(std::vector<std::string> responses)
        : m_responses(std::move(responses))
        , m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_endpoint("127.0.0.1", m_acceptor.local_endpoint().port())
        , m_thread([this] { run(); })
    {
    }

    ~ScriptedServer()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        // Connecting to the acceptor unblocks the accept() call of the thread.
        std::error_code ec;
        asio::ip::tcp::socket socket(m_context);
        socket.connect(m_acceptor.local_endpoint(), ec);
        socket.close(ec);
        m_thread.join();
    }

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    /** The request lines received so far. */
    std::vector<std::string> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

    static std::string response(int status, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " Text\r\nContent-Length: " + std::to_string(body.size())
            + "\r\nConnection: close\r\n\r\n" + body;
    }

private:
    void run()
    {
        for (std::size_t n = 0;; ++n) {
            asio::ip::tcp::socket socket(m_context);
            std::error_code ec;
            m_acceptor.accept(socket, ec);
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
            const std::lock_guard lock(m_mutex);
            if (m_stopping) {
                return;
            }
            m_requests.push_back(request.substr(0, request.find(" HTTP")));
            asio::write(socket, asio::buffer(m_responses[std::min(n, m_responses.size() - 1)]), ec);
        }
    }

    std::vector<std::string> m_responses;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Hornbeam
