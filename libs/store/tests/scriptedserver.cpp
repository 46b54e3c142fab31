#include "scriptedserver.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <utility>

namespace Hornbeam {

std::string okResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class ScriptedServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(ScriptedServer &server, asio::ip::tcp::socket socket)
        : m_server(server)
        , m_socket(std::move(socket))
    {
    }

    void readRequest()
    {
        asio::async_read_until(m_socket,
                               asio::dynamic_buffer(m_input),
                               "\r\n\r\n",
                               [self = shared_from_this()](const std::error_code &ec, std::size_t headerLength) {
                                   if (!ec) {
                                       self->readBody(headerLength);
                                   }
                               });
    }

private:
    void readBody(std::size_t headerLength)
    {
        const std::string name = "Content-Length: ";
        const auto position = m_input.find(name);
        const bool hasBody = position < headerLength && m_server.m_reads == Reads::Whole;
        const std::size_t length = hasBody ? std::stoul(m_input.substr(position + name.size())) : 0;
        const std::size_t total = headerLength + length;
        const std::size_t missing = total > m_input.size() ? total - m_input.size() : 0;
        asio::async_read(m_socket,
                         asio::dynamic_buffer(m_input),
                         asio::transfer_exactly(missing),
                         [self = shared_from_this(), headerLength, total](const std::error_code &ec, std::size_t) {
                             if (!ec) {
                                 self->handle(headerLength, total);
                             }
                         });
    }

    void handle(std::size_t headerLength, std::size_t total)
    {
        const auto pathBegin = m_input.find(' ') + 1;
        const ScriptedRequest request{.path = m_input.substr(pathBegin, m_input.find(' ', pathBegin) - pathBegin),
                                      .body = m_input.substr(headerLength, total - headerLength),
                                      .peerAddress = m_socket.remote_endpoint().address().to_string()};
        m_input.erase(0, total);
        m_server.m_bytesReceived += total;
        ++m_server.m_requests;
        m_reply = m_server.m_handler(request);
        m_server.m_bytesSent += m_reply.bytes.size();
        asio::async_write(
            m_socket, asio::buffer(m_reply.bytes), [self = shared_from_this()](const std::error_code &ec, std::size_t) {
                if (!ec && self->m_reply.reset) {
                    self->m_socket.set_option(asio::socket_base::linger(true, 0));
                    self->m_socket.close();
                } else if (!ec && !self->m_reply.close) {
                    self->readRequest();
                }
            });
    }

    ScriptedServer &m_server;
    asio::ip::tcp::socket m_socket;
    std::string m_input;
    ScriptedReply m_reply;
};

ScriptedServer::ScriptedServer(Handler handler, Reads reads)
    : m_handler(std::move(handler))
    , m_reads(reads)
    , m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

ScriptedServer::~ScriptedServer()
{
    m_context.stop();
    m_thread.join();
}

Endpoint ScriptedServer::endpoint() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void ScriptedServer::accept()
{
    m_acceptor.async_accept([this](const std::error_code &ec, asio::ip::tcp::socket socket) {
        if (!ec) {
            std::make_shared<Connection>(*this, std::move(socket))->readRequest();
            accept();
        }
    });
}

} // namespace Hornbeam
