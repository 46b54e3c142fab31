#include <hornbeam/testsupport/clientcrowd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <thread>
#include <vector>

namespace Hornbeam {

namespace {

/** A peer that has accepted no byte of any connection for this long has stopped reading. */
constexpr std::chrono::milliseconds stallTime{500};
constexpr std::chrono::milliseconds pollPeriod{2};

/** Bytes of the repeated piece that are sent in one call. */
constexpr std::size_t blockBytes = std::size_t{16} * 1024;

} // namespace

class ClientCrowd::Connection
{
public:
    explicit Connection(asio::io_context &io)
        : socket(io)
    {
    }

    /** Sends what the socket accepts of @p bytes; closes the socket if the peer has. Returns the number of bytes. */
    std::size_t sendSome(std::string_view bytes)
    {
        const auto n = ::send(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            std::error_code ec;
            socket.close(ec);
        }
        return n < 0 ? 0 : static_cast<std::size_t>(n);
    }

    /** Whether the peer has closed the connection, after all bytes that it has sent. */
    bool isClosedByPeer()
    {
        char byte = 0;
        const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    asio::ip::tcp::socket socket;
    std::size_t sent = 0;
};

class ClientCrowd::Impl
{
public:
    asio::io_context io;
    std::vector<std::unique_ptr<Connection>> connections;
};

ClientCrowd::ClientCrowd()
    : m_impl(std::make_unique<Impl>())
{
}

ClientCrowd::~ClientCrowd() = default;

std::size_t ClientCrowd::connect(const Endpoint &listener, std::size_t n)
{
    const asio::ip::tcp::endpoint peer(asio::ip::make_address(listener.address()), listener.port());
    std::size_t opened = 0;
    for (std::size_t i = 0; i < n; ++i) {
        auto connection = std::make_unique<Connection>(m_impl->io);
        std::error_code ec;
        connection->socket.connect(peer, ec);
        if (!ec) {
            m_impl->connections.push_back(std::move(connection));
            ++opened;
        }
    }
    return opened;
}

void ClientCrowd::send(const Script &script)
{
    std::string block;
    while (!script.piece.empty() && block.size() < blockBytes) {
        block += script.piece;
    }
    const auto total = script.head.size() + script.piece.size() * script.pieces;
    for (auto &it : m_impl->connections) {
        it->sent = 0;
    }
    auto lastProgress = std::chrono::steady_clock::now();
    bool unfinished = true;
    while (unfinished && std::chrono::steady_clock::now() - lastProgress < stallTime) {
        unfinished = false;
        std::size_t accepted = 0;
        for (auto &it : m_impl->connections) {
            if (!it->socket.is_open() || it->sent >= total) {
                continue;
            }
            unfinished = true;
            std::string_view bytes = script.head;
            if (it->sent < script.head.size()) {
                bytes.remove_prefix(it->sent);
            } else {
                const auto offset = (it->sent - script.head.size()) % script.piece.size();
                bytes = std::string_view(block).substr(offset, std::min(block.size() - offset, total - it->sent));
            }
            const auto n = it->sendSome(bytes);
            it->sent += n;
            accepted += n;
        }
        if (accepted > 0) {
            lastProgress = std::chrono::steady_clock::now();
        } else {
            std::this_thread::sleep_for(pollPeriod);
        }
    }
}

void ClientCrowd::sendByte(char byte)
{
    for (auto &it : m_impl->connections) {
        if (it->socket.is_open()) {
            it->sendSome({&byte, 1});
        }
    }
}

std::size_t ClientCrowd::openCount()
{
    return static_cast<std::size_t>(
        std::count_if(m_impl->connections.begin(), m_impl->connections.end(), [](const auto &it) {
            return it->socket.is_open() && !it->isClosedByPeer();
        }));
}

void ClientCrowd::close()
{
    m_impl->connections.clear();
}

} // namespace Hornbeam
