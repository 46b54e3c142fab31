#pragma once

#include <hornbeam/base/error.h>

#include <asio/awaitable.hpp>
#include <asio/ip/udp.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace Hornbeam {

struct ProxyContext;

/**
 * Forwards the datagrams that arrive at a link. There is no return path: a reply is a separate datagram to the address
 * that the other process advertises.
 */
class DatagramRelay : public std::enable_shared_from_this<DatagramRelay>
{
public:
    DatagramRelay(ProxyContext &context, std::string link, asio::ip::udp::endpoint forward);

    /** Binds the socket. Returns Unavailable when the address cannot be bound. */
    Result<bool> listen(const asio::ip::udp::endpoint &endpoint);

    void start();
    void close();

private:
    asio::awaitable<void> run();
    asio::awaitable<void> sendLater(std::string bytes, std::chrono::microseconds delay);
    void forward(const std::string &source, std::string bytes);

    ProxyContext &m_context;
    std::string m_link;
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_forward;
    std::size_t m_delayed = 0; ///< Datagrams waiting for their delay.
};

} // namespace Hornbeam
