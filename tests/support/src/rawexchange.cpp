#include <hornbeam/testsupport/rawexchange.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>

namespace Hornbeam {

std::string exchangeRaw(const Endpoint &endpoint, const std::string &bytes)
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    std::error_code ec;
    socket.connect({asio::ip::make_address(endpoint.address()), endpoint.port()}, ec);
    asio::write(socket, asio::buffer(bytes), ec);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    ec.clear();
    std::string received;
    std::array<char, 4096> buf{};
    while (!ec) {
        received.append(buf.data(), socket.read_some(asio::buffer(buf), ec));
    }
    return received;
}

} // namespace Hornbeam
