#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <memory>

namespace asio {
class io_context;
}

namespace Hornbeam {

class Executor;
class MetricsRegistry;
class PeerService;

/** Listen address and limits of the accepted connections. */
struct GrpcPeerServerOptions
{
    Endpoint listen; ///< Port 0 lets the system choose.
    std::uint32_t maxConnections = 64; ///< Further connections wait in the listen backlog. 1..10000.
    std::uint32_t maxAcceptsPerSecond = 200; ///< Limits the load when many peers reconnect at once. 1..10000.
    Duration idleTimeout = std::chrono::seconds(35); ///< Above the client's, so that normally the client closes first.
};

/** Objects that the server uses; they must outlive it. */
struct GrpcPeerServerDependencies
{
    asio::io_context &context; ///< Runs on the control thread.
    Executor &control; ///< Posts to the control thread.
    TimerService &timers;
    PeerService &service; ///< Called on the control thread.
    MetricsRegistry &metrics;
};

/** Accepts connections from peers and serves their gRPC requests. Create and destroy it on the control thread. */
class GrpcPeerServer
{
public:
    /** Unavailable when it cannot listen on the address, InvalidArgument when an option is out of range. */
    static Result<std::unique_ptr<GrpcPeerServer>> make(GrpcPeerServerOptions options,
                                                        GrpcPeerServerDependencies dependencies);

    /** Closes all connections; running requests end with an error. */
    ~GrpcPeerServer();

    /** The bound address. */
    Endpoint localEndpoint() const;

    std::size_t connectionCount() const;

private:
    class Impl;

    explicit GrpcPeerServer(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl; ///< Shared with accept operations that are pending in the context.
};

} // namespace Hornbeam
