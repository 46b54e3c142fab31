#include "datagramrelay.h"

#include "proxycontext.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

namespace Hornbeam {

namespace {

using asio::ip::udp;

constexpr std::size_t maxDatagramBytes = 65536;
constexpr std::size_t maxDelayedDatagrams = 10000; ///< Per link; at this number all new ones are dropped.

} // namespace

DatagramRelay::DatagramRelay(ProxyContext &context, std::string link, udp::endpoint forward)
    : m_context(context)
    , m_link(std::move(link))
    , m_socket(context.io)
    , m_forward(std::move(forward))
{
}

Result<bool> DatagramRelay::listen(const udp::endpoint &endpoint)
{
    std::error_code ec;
    m_socket.open(endpoint.protocol(), ec);
    if (!ec) {
        m_socket.bind(endpoint, ec);
    }
    if (ec) {
        return makeError(ErrorCode::Unavailable, "cannot bind the UDP socket of link " + m_link + ": " + ec.message());
    }
    return true;
}

void DatagramRelay::start()
{
    asio::co_spawn(
        m_context.io, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void DatagramRelay::close()
{
    std::error_code ec;
    m_socket.close(ec);
}

asio::awaitable<void> DatagramRelay::run()
{
    std::string buf(maxDatagramBytes, '\0');
    while (m_socket.is_open()) {
        udp::endpoint sender;
        std::error_code ec;
        const auto n = co_await m_socket.async_receive_from(
            asio::buffer(buf), sender, asio::redirect_error(asio::use_awaitable, ec));
        // The socket reports ICMP errors of earlier sends here, for example after the receiving process stopped. They
        // are ignored.
        if (!ec) {
            forward(sender.address().to_string(), buf.substr(0, n));
        }
    }
}

void DatagramRelay::forward(const std::string &source, std::string bytes)
{
    const Flow flow = {.source = source, .link = m_link};
    auto decision = m_context.rules.decideDatagram(flow);
    auto &statistics = m_context.statistics.forFlow(flow);
    if (m_delayed >= maxDelayedDatagrams) {
        decision.copies = 0;
    }
    statistics.datagramsDropped += decision.copies == 0 ? 1 : 0;
    statistics.datagrams += static_cast<std::uint64_t>(decision.copies);
    statistics.datagramBytes += static_cast<std::uint64_t>(decision.copies) * bytes.size();
    for (int i = 0; i < decision.copies; ++i) {
        asio::co_spawn(
            m_context.io,
            [self = shared_from_this(), bytes, delay = decision.delay] { return self->sendLater(bytes, delay); },
            asio::detached);
    }
}

asio::awaitable<void> DatagramRelay::sendLater(std::string bytes, std::chrono::microseconds delay)
{
    std::error_code ec;
    if (delay.count() > 0) {
        ++m_delayed;
        asio::steady_timer timer(m_context.io, delay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        --m_delayed;
    }
    if (m_socket.is_open()) {
        co_await m_socket.async_send_to(asio::buffer(bytes), m_forward, asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace Hornbeam
