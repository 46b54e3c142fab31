#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/dissemination/peerclient.h>

#include <cstdint>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace Hornbeam {

class Executor;
class MetricsRegistry;

/** Local address and limits of the outgoing connections. */
struct GrpcPeerClientOptions
{
    std::string localAddress{}; ///< IP address that connections are bound to; the port is chosen by the system.
    Duration connectTimeout = std::chrono::seconds(1);
    Duration idleTimeout = std::chrono::seconds(30); ///< Connections without requests for this time are closed.
    std::chrono::milliseconds userTimeout{5000}; ///< TCP_USER_TIMEOUT: how long sent data may stay unacknowledged.
    std::uint32_t maxWaitingRequests = 64; ///< Requests that wait for a connection, per peer.
    BackoffOptions reconnectBackoff{.initial = std::chrono::milliseconds(100), .maximum = std::chrono::seconds(5)};
};

/** Objects that the client uses; they must outlive it. */
struct GrpcPeerClientDependencies
{
    asio::io_context &context; ///< Runs on the control thread.
    Executor &control; ///< Posts to the control thread.
    TimerService &timers;
    MetricsRegistry &metrics;
};

/**
 * Sends requests over one gRPC connection per peer. A connection on which a request fails or times out is not used
 * again, because it may be dead; the next request opens a new one. After a failed attempt to connect, requests fail
 * immediately until the backoff delay has passed.
 */
class GrpcPeerClient : public PeerClient
{
public:
    /** InvalidArgument when the local address is not an IP address. */
    static Result<std::unique_ptr<GrpcPeerClient>> make(GrpcPeerClientOptions options,
                                                        GrpcPeerClientDependencies dependencies);

    /** Cancels all requests without calling their callbacks. */
    ~GrpcPeerClient() override;

    void push(const Endpoint &peer, PushRequest request, Duration timeout, Callback<PushReply> callback) override;
    void fetch(const Endpoint &peer, FetchRequest request, Duration timeout, Callback<FetchReply> callback) override;

    /** Number of open connections. */
    std::size_t connectionCount() const;

private:
    class Impl;

    explicit GrpcPeerClient(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl; ///< Shared with operations that are pending in the context and in gRPC.
};

} // namespace Hornbeam
