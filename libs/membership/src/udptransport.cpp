#include <hornbeam/membership/udptransport.h>

#include <hornbeam/base/metrics.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <utility>

namespace Hornbeam {

namespace {

constexpr std::size_t maxReceivedBytes = 2048;
constexpr int socketReceiveBufferBytes = 1 << 20;
constexpr std::size_t ipv4HeaderBytes = 28; // IPv4 and UDP.
constexpr std::size_t ipv6HeaderBytes = 48; // IPv6 and UDP.

} // namespace

class UdpTransport::Impl : public std::enable_shared_from_this<UdpTransport::Impl>
{
public:
    Impl(asio::io_context &context, MetricsRegistry &metrics)
        : m_socket(context)
        , m_bytesSent(metrics.counter("hornbeam_membership_bytes_sent_total",
                                      "Bytes of membership datagrams sent, with IP and UDP headers."))
        , m_bytesReceived(metrics.counter("hornbeam_membership_bytes_received_total",
                                          "Bytes of membership datagrams received, with IP and UDP headers."))
        , m_sendErrors(metrics.counter("hornbeam_membership_send_errors_total",
                                       "Membership datagrams that the system did not accept for sending."))
    {
    }

    std::error_code open(const Endpoint &listen)
    {
        std::error_code ec;
        const auto address = asio::ip::make_address(listen.address(), ec);
        if (ec) {
            return ec;
        }
        m_headerBytes = address.is_v6() ? ipv6HeaderBytes : ipv4HeaderBytes;
        const asio::ip::udp::endpoint local(address, listen.port());
        m_socket.open(local.protocol(), ec);
        if (!ec) {
            m_socket.bind(local, ec);
        }
        if (!ec) {
            m_socket.non_blocking(true, ec);
        }
        // The buffer has to hold a burst of updates while the control thread is busy. The system may grant a smaller
        // one, which is not an error.
        std::error_code ignored;
        m_socket.set_option(asio::socket_base::receive_buffer_size(socketReceiveBufferBytes), ignored);
        return ec;
    }

    void send(const Endpoint &peer, std::string_view bytes)
    {
        std::error_code ec;
        const auto address = asio::ip::make_address(peer.address(), ec);
        if (!ec) {
            m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), {address, peer.port()}, 0, ec);
        }
        if (ec) {
            m_sendErrors.add();
            return;
        }
        m_bytesSent.add(bytes.size() + m_headerBytes);
    }

    void receive()
    {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_source, [self = shared_from_this()](const std::error_code &ec, std::size_t n) {
                if (!self->m_socket.is_open() || ec == asio::error::operation_aborted) {
                    return;
                }
                if (!ec) {
                    self->deliver(n);
                }
                // An error is an ICMP report about an earlier datagram; the socket remains usable.
                if (self->m_socket.is_open()) {
                    self->receive();
                }
            });
    }

    void close()
    {
        std::error_code ec;
        m_receiver = {};
        m_socket.close(ec);
    }

    void setReceiver(Receiver receiver)
    {
        m_receiver = std::move(receiver);
    }

    Endpoint localEndpoint() const
    {
        std::error_code ec;
        const auto local = m_socket.local_endpoint(ec);
        return ec ? Endpoint() : Endpoint(local.address().to_string(), local.port());
    }

private:
    void deliver(std::size_t n)
    {
        m_bytesReceived.add(n + m_headerBytes);
        if (m_receiver) {
            // The receiver may call setReceiver(); the copy keeps the function alive while it runs.
            const auto receiver = m_receiver;
            receiver(std::string_view(m_buffer.data(), n));
        }
    }

    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_source;
    std::array<char, maxReceivedBytes> m_buffer{};
    std::size_t m_headerBytes = ipv4HeaderBytes;
    Receiver m_receiver;
    Counter &m_bytesSent;
    Counter &m_bytesReceived;
    Counter &m_sendErrors;
};

Result<std::unique_ptr<UdpTransport>> UdpTransport::make(asio::io_context &context,
                                                         const Endpoint &listen,
                                                         MetricsRegistry &metrics)
{
    auto impl = std::make_shared<Impl>(context, metrics);
    if (const auto ec = impl->open(listen)) {
        return makeError(ErrorCode::Unavailable, "cannot bind UDP to " + listen.toString() + ": " + ec.message());
    }
    impl->receive();
    return std::unique_ptr<UdpTransport>(new UdpTransport(std::move(impl)));
}

UdpTransport::UdpTransport(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

UdpTransport::~UdpTransport()
{
    m_impl->close();
}

void UdpTransport::send(const Endpoint &peer, std::string_view bytes)
{
    m_impl->send(peer, bytes);
}

void UdpTransport::setReceiver(Receiver receiver)
{
    m_impl->setReceiver(std::move(receiver));
}

Endpoint UdpTransport::localEndpoint() const
{
    return m_impl->localEndpoint();
}

} // namespace Hornbeam
