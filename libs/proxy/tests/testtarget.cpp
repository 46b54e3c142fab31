#include "testtarget.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace Hornbeam {

TestTarget::TestTarget(Handler handler, Reads reads)
    : m_handler(std::move(handler))
    , m_reads(reads)
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind");
    }
    ::listen(m_listener, 128);
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_address = Endpoint("127.0.0.1", ntohs(address.sin_port));
    m_acceptor = std::thread([this] { accept(); });
}

TestTarget::~TestTarget()
{
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void TestTarget::accept()
{
    for (;;) {
        const int fd = ::accept(m_listener, nullptr, nullptr);
        if (fd < 0) {
            return;
        }
        ++m_accepted;
        const std::lock_guard lock(m_mutex);
        m_open.push_back(fd);
        m_threads.emplace_back([this, fd] { serve(fd); });
    }
}

void TestTarget::serve(int fd)
{
    TestSocket connection(fd);
    bool open = true;
    while (open) {
        const auto request = m_reads == Reads::Head ? connection.readHead() : connection.read();
        if (!request || (m_reads == Reads::Whole && !request->complete)) {
            break;
        }
        ++m_requests;
        open = m_handler(*request, connection);
    }
    const std::lock_guard lock(m_mutex);
    m_open.erase(std::remove(m_open.begin(), m_open.end(), fd), m_open.end());
    connection.close();
}

TestTarget::Handler TestTarget::answer(std::string body)
{
    return [body = std::move(body)](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(response("200 OK", body));
    };
}

std::string TestTarget::response(const std::string &status, const std::string &body, const std::string &headers)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

} // namespace Hornbeam
