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

/** Address and bounds of the outgoing connections. */
struct GrpcPeerClientOptions
{
    std::string localAddress{}; ///< IP address that connections are bound to; the port is chosen by the system.
    Duration connectTimeout = std::chrono::seconds(1);
    Duration idleTimeout = std::chrono::seconds(30); ///< Closes a connection without requests.
    std::chrono::milliseconds userTimeout{5000}; ///< TCP_USER_TIMEOUT: bound of unacknowledged data.
    std::uint32_t maxWaitingRequests = 64; ///< Requests that wait for a connection, per peer.
    BackoffOptions reconnectBackoff{.initial = std::chrono::milliseconds(100), .maximum = std::chrono::seconds(5)};
};

/** What the client needs; the referenced objects outlive it. */
struct GrpcPeerClientDependencies
{
    asio::io_context &context; ///< Runs on the control thread.
    Executor &control; ///< Posts to the control thread.
    TimerService &timers;
    MetricsRegistry &metrics;
};

/**
 * Sends requests over one gRPC connection per peer. A connection on which a request times out is dropped, because it
 * may have become silent; the next request uses a new one. After a failed connect, requests fail at once until the
 * backoff has passed.
 */
class GrpcPeerClient : public PeerClient
{
public:
    /** InvalidArgument when the local address is not an IP address. */
    static Result<std::unique_ptr<GrpcPeerClient>> make(GrpcPeerClientOptions options,
                                                        GrpcPeerClientDependencies dependencies);

    /** Cancels all requests; their callbacks are not called any more. */
    ~GrpcPeerClient() override;

    void push(const Endpoint &peer, PushRequest request, Duration timeout, Callback<PushReply> callback) override;
    void fetch(const Endpoint &peer, FetchRequest request, Duration timeout, Callback<FetchReply> callback) override;

    /** Connections that are open now. */
    std::size_t connectionCount() const;

private:
    class Impl;

    explicit GrpcPeerClient(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl; ///< Shared with operations that are pending in the context.
};

} // namespace Hornbeam
