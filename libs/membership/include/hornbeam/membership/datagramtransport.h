#pragma once

#include <hornbeam/base/endpoint.h>

#include <functional>
#include <string_view>

namespace Hornbeam {

/** Sends and receives the datagrams of the membership protocol. Unreliable and unordered. Control thread only. */
class DatagramTransport
{
public:
    using Receiver = std::function<void(std::string_view bytes)>;

    virtual ~DatagramTransport() = default;

    /** Sends @p bytes to @p peer. A datagram that cannot be sent without blocking is dropped. */
    virtual void send(const Endpoint &peer, std::string_view bytes) = 0;

    /**
     * Sets the function that is called for each received datagram; an empty function discards them. The source
     * address is not passed on because a proxy between the nodes may rewrite it; each datagram contains the address
     * of its sender.
     */
    virtual void setReceiver(Receiver receiver) = 0;
};

} // namespace Hornbeam
