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

/** The outgoing connection to one peer, opened on demand. Control thread only. */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /** @p fresh is true when the connection was opened for this request, and false when it is reused. */
    using Waiter = std::function<void(Result<PeerStubPtr> stub, bool fresh)>;

    PeerConnection(const GrpcPeerClientOptions &options,
                   const GrpcPeerClientDependencies &dependencies,
                   PeerByteCounters counters,
                   Endpoint peer);

    /** Calls @p waiter with the connection, or with an error when it cannot be opened; immediately if that is known. */
    void acquire(Waiter waiter);

    /** Closes the connection if @p stub belongs to it and not to an earlier one. */
    void drop(const PeerStubPtr &stub);

    /** Counts the traffic, and closes a connection that is broken or idle. */
    void sweep(TimePoint now);

    bool isOpen() const
    {
        return m_stub != nullptr;
    }

    /** Whether the object can be removed: it is idle, without a connection and without a backoff delay to keep. */
    bool isUnused(TimePoint now) const;

    /** Closes the connection, and drops the waiters without calling them. */
    void stop();

private:
    void connect();
    std::error_code openSocket(asio::ip::tcp::socket &socket) const;
    void connected(asio::ip::tcp::socket &socket, std::error_code ec);

    /** Creates the gRPC channel, which takes over the descriptor of @p socket. */
    bool createChannel(asio::ip::tcp::socket &socket);
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
