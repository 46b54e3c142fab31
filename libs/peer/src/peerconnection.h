#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/peer/grpcpeerclient.h>

#include "connectionmeter.h"
#include "peer.grpc.pb.h"

#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace Hornbeam {

using PeerStub = hornbeam::peer::wire::Peer::Stub;
using PeerStubPtr = std::shared_ptr<PeerStub>;

/** The outgoing connection to one peer, which is opened on demand. Control thread only. */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /** @p fresh tells whether the connection was opened for this request. */
    using Waiter = std::function<void(Result<PeerStubPtr> stub, bool fresh)>;

    PeerConnection(const GrpcPeerClientOptions &options,
                   const GrpcPeerClientDependencies &dependencies,
                   PeerByteCounters counters,
                   Endpoint peer);

    /** Calls @p waiter with the connection, or with an error when it cannot be opened. */
    void acquire(Waiter waiter);

    /** Closes the connection if it is still the one of @p stub. */
    void drop(const PeerStubPtr &stub);

    /** Samples the bytes, and closes a connection that is broken or idle. */
    void sweep(TimePoint now);

    bool isOpen() const
    {
        return m_stub != nullptr;
    }

    /** Whether the object has neither a connection nor a backoff to remember. */
    bool isUnused(TimePoint now) const;

    /** Closes everything without calling the waiters. */
    void stop();

private:
    void connect();
    std::error_code openSocket(asio::ip::tcp::socket &socket) const;
    void connected(asio::ip::tcp::socket &socket, std::error_code ec);
    bool handOver(asio::ip::tcp::socket &socket);
    void close();

    const GrpcPeerClientOptions m_options;
    const GrpcPeerClientDependencies m_dependencies;
    PeerByteCounters m_counters;
    Endpoint m_peer;
    Backoff m_backoff;
    TimePoint m_nextConnect{};
    TimePoint m_lastUse{};
    bool m_connecting = false;
    bool m_stopped = false;
    std::vector<Waiter> m_waiters;
    TimerHandle m_connectTimer;
    PeerStubPtr m_stub;
    std::unique_ptr<ConnectionMeter> m_meter;
};

} // namespace Hornbeam
