#pragma once

#include <hornbeam/base/endpoint.h>

#include <functional>
#include <string_view>

namespace Hornbeam {

/** Sends and receives datagrams of the membership. Unreliable and unordered. Control thread only. */
class DatagramTransport
{
public:
    using Receiver = std::function<void(std::string_view bytes)>;

    virtual ~DatagramTransport() = default;

    /** Sends @p bytes to @p peer. A datagram that cannot be sent at once is dropped. */
    virtual void send(const Endpoint &peer, std::string_view bytes) = 0;

    /**
     * Sets the function that receives each datagram; an empty function discards them. The source address is not
     * reported, because a proxy between the nodes changes it; messages name their sender.
     */
    virtual void setReceiver(Receiver receiver) = 0;
};

} // namespace Hornbeam
