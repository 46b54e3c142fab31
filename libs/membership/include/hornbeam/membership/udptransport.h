#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/membership/datagramtransport.h>

#include <memory>

namespace asio {
class io_context;
}

namespace Hornbeam {

class MetricsRegistry;

/** Sends and receives datagrams over a UDP socket that is bound to the node's peer address. */
class UdpTransport : public DatagramTransport
{
public:
    /**
     * Binds to @p listen; with port 0 the system chooses the port. Unavailable when the address cannot be bound.
     * @p context and @p metrics must outlive the transport.
     */
    static Result<std::unique_ptr<UdpTransport>> make(asio::io_context &context,
                                                      const Endpoint &listen,
                                                      MetricsRegistry &metrics);

    ~UdpTransport() override;

    void send(const Endpoint &peer, std::string_view bytes) override;
    void setReceiver(Receiver receiver) override;

    /** The bound address. */
    Endpoint localEndpoint() const;

private:
    class Impl;

    explicit UdpTransport(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl; ///< Shared with the pending receive operation.
};

} // namespace Hornbeam
