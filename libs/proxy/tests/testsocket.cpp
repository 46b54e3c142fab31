#include "testsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <utility>

namespace Hornbeam {

namespace {

constexpr int timeoutSeconds = 5;

} // namespace

int TestMessage::status() const
{
    return startLine.size() > 9 ? std::atoi(startLine.c_str() + 9) : 0;
}

std::string TestMessage::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

TestSocket::TestSocket(int fd)
    : m_fd(fd)
{
    const timeval timeout{.tv_sec = timeoutSeconds, .tv_usec = 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
}

TestSocket::TestSocket(TestSocket &&other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
    , m_buffer(std::move(other.m_buffer))
{
}

TestSocket::~TestSocket()
{
    close();
}

TestSocket TestSocket::connectTo(const Endpoint &peer)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port());
    ::inet_pton(AF_INET, peer.address().c_str(), &address.sin_addr);
    TestSocket socket(fd);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        socket.close();
    }
    return socket;
}

bool TestSocket::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool TestSocket::receiveMore()
{
    std::array<char, 65536> buf;
    const auto n = ::recv(m_fd, buf.data(), buf.size(), 0);
    if (n <= 0) {
        return false;
    }
    m_buffer.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<std::string> TestSocket::readLine()
{
    for (;;) {
        const auto end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            auto line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return line;
        }
        if (!receiveMore()) {
            return std::nullopt;
        }
    }
}

bool TestSocket::readExactly(std::uint64_t n, std::string *out)
{
    for (;;) {
        const auto size = std::min<std::uint64_t>(n, m_buffer.size());
        if (out != nullptr) {
            out->append(m_buffer, 0, size);
        }
        m_buffer.erase(0, size);
        n -= size;
        if (n == 0) {
            return true;
        }
        if (!receiveMore()) {
            return false;
        }
    }
}

bool TestSocket::readChunks(std::string *out)
{
    for (;;) {
        const auto size = readLine();
        if (!size) {
            return false;
        }
        const auto n = std::strtoull(size->c_str(), nullptr, 16);
        if (!readExactly(n, out) || !readLine()) {
            return false;
        }
        if (n == 0) {
            return true;
        }
    }
}

std::optional<TestMessage> TestSocket::readHead()
{
    TestMessage message;
    auto line = readLine();
    if (!line) {
        return std::nullopt;
    }
    message.startLine = *line;
    for (line = readLine(); line && !line->empty(); line = readLine()) {
        auto name = line->substr(0, line->find(':'));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        message.headers[name] = line->substr(std::min(line->size(), name.size() + 2));
    }
    return line ? std::optional(message) : std::nullopt;
}

bool TestSocket::readBody(const TestMessage &message, std::string *out)
{
    if (message.header("transfer-encoding") == "chunked") {
        return readChunks(out);
    }
    return readExactly(std::strtoull(message.header("content-length").c_str(), nullptr, 10), out);
}

std::optional<TestMessage> TestSocket::read(bool hasBody)
{
    auto message = readHead();
    if (message) {
        message->complete = !hasBody || readBody(*message, &message->body);
    }
    return message;
}

std::optional<TestMessage> TestSocket::readAndDiscard()
{
    auto message = readHead();
    if (message) {
        message->complete = readBody(*message, nullptr);
    }
    return message;
}

bool TestSocket::waitClosed()
{
    std::array<char, 4096> buf;
    ssize_t n = 0;
    do {
        n = ::recv(m_fd, buf.data(), buf.size(), 0);
    } while (n > 0);
    return n == 0 || errno == ECONNRESET;
}

bool TestSocket::staysOpenAndIdle(int ms)
{
    pollfd poll{.fd = m_fd, .events = POLLIN, .revents = 0};
    return m_buffer.empty() && ::poll(&poll, 1, ms) == 0;
}

void TestSocket::shutdownSend()
{
    ::shutdown(m_fd, SHUT_WR);
}

void TestSocket::shutdown()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

void TestSocket::reset()
{
    const linger option{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close();
}

void TestSocket::close()
{
    if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
    }
}

} // namespace Hornbeam
