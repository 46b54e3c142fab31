#include <hornbeam/peer/grpcpeerclient.h>

#include <hornbeam/base/executor.h>

#include "peercodec.h"
#include "peerconnection.h"

#include <asio/io_context.hpp>
#include <grpcpp/client_context.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace Hornbeam {

namespace {

constexpr auto sweepPeriod = std::chrono::milliseconds(250);

/** One attempt to run a request as a gRPC call. Must exist until gRPC has finished the call. */
class PeerRpc
{
public:
    /** Called once on a gRPC thread. */
    using FinishedCallback = std::function<void(const grpc::Status &)>;

    virtual ~PeerRpc() = default;
    virtual void start(PeerStub &stub, FinishedCallback finished) = 0;

    grpc::ClientContext context;
};

class PushRpc : public PeerRpc
{
public:
    explicit PushRpc(const PushRequest &push)
        : request(toWire(push))
    {
    }

    void start(PeerStub &stub, FinishedCallback finished) override
    {
        stub.async()->Push(&context, &request, &reply, std::move(finished));
    }

    Result<PushReply> result() const
    {
        return fromWire(reply);
    }

    PeerWire::PushRequest request;
    PeerWire::PushReply reply;
};

class FetchRpc : public PeerRpc, public grpc::ClientReadReactor<PeerWire::FetchChunk>
{
public:
    explicit FetchRpc(const FetchRequest &fetch)
        : request(toWire(fetch))
    {
    }

    void start(PeerStub &stub, FinishedCallback finished) override
    {
        m_finished = std::move(finished);
        stub.async()->Fetch(&context, &request, this);
        StartRead(&m_chunk);
        StartCall();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            return;
        }
        if (m_content.size() + m_chunk.data().size() > maxFetchBytes) {
            context.TryCancel();
            return;
        }
        m_content += m_chunk.data();
        StartRead(&m_chunk);
    }

    void OnDone(const grpc::Status &status) override
    {
        // The callback owns a reference to this object. As a local variable, it is not destroyed while it runs.
        const auto finished = std::exchange(m_finished, {});
        finished(status);
    }

    Result<FetchReply> result() const
    {
        return decodeFetchReply(m_content);
    }

    PeerWire::FetchRequest request;

private:
    FinishedCallback m_finished;
    PeerWire::FetchChunk m_chunk;
    std::string m_content;
};

/** Counts the gRPC calls that have not finished. */
class OutstandingRpcs
{
public:
    void add()
    {
        const std::lock_guard lock(m_mutex);
        ++m_count;
    }

    void remove()
    {
        const std::lock_guard lock(m_mutex);
        --m_count;
        m_changed.notify_all();
    }

    void waitForNone()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_count == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_count = 0;
};

Error toError(const grpc::Status &status)
{
    const bool unavailable = status.error_code() == grpc::StatusCode::UNAVAILABLE;
    return {unavailable ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown, status.error_message()};
}

} // namespace

class GrpcPeerClient::Impl : public std::enable_shared_from_this<GrpcPeerClient::Impl>
{
public:
    Impl(GrpcPeerClientOptions options, GrpcPeerClientDependencies dependencies)
        : m_options(std::move(options))
        , m_dependencies(dependencies)
        , m_counters(dependencies.metrics)
        , m_outstanding(std::make_shared<OutstandingRpcs>())
    {
    }

    void start()
    {
        m_sweepTimer = m_dependencies.timers.every(sweepPeriod, [this] { sweep(); });
    }

    void stop()
    {
        m_stopped = true;
        m_sweepTimer.reset();
        for (const auto &call : std::exchange(m_calls, {})) {
            call->done = true;
            call->timer.reset();
        }
        for (const auto &rpc : m_rpcs) {
            rpc->context.TryCancel();
        }
        m_outstanding->waitForNone();
        m_rpcs.clear();
        for (const auto &[peer, connection] : std::exchange(m_connections, {})) {
            connection->stop();
        }
    }

    std::size_t connectionCount() const
    {
        std::size_t n = 0;
        for (const auto &[peer, connection] : m_connections) {
            n += connection->isOpen() ? 1 : 0;
        }
        return n;
    }

    template <typename Rpc, typename Request, typename Reply>
    void call(const Endpoint &peer, Request request, Duration timeout, Callback<Reply> callback)
    {
        const auto call = std::make_shared<Call>();
        call->peer = peer;
        call->deadline = m_dependencies.timers.now() + timeout;
        call->makeRpc = [request = std::move(request)] {
            return std::make_shared<Rpc>(request);
        };
        call->succeed = [callback](const PeerRpc &rpc) {
            callback(static_cast<const Rpc &>(rpc).result());
        };
        call->fail = [callback](const Error &error) {
            callback(tl::unexpected(error));
        };
        call->timer = m_dependencies.timers.once(timeout, [this, call] { timedOut(call); });
        m_calls.insert(call);
        // Posted because the callback must not run before this function returns, not even after a failed connect.
        m_dependencies.control.post([self = shared_from_this(), call] { self->attempt(call); });
    }

private:
    /** A request and its current attempt. */
    struct Call
    {
        Endpoint peer;
        TimePoint deadline;
        std::function<std::shared_ptr<PeerRpc>()> makeRpc;
        std::function<void(const PeerRpc &)> succeed;
        std::function<void(const Error &)> fail;
        TimerHandle timer;
        std::shared_ptr<PeerRpc> rpc; ///< The current attempt.
        PeerStubPtr stub; ///< The connection of the current attempt.
        bool done = false;
    };
    using CallPtr = std::shared_ptr<Call>;

    void attempt(const CallPtr &call)
    {
        if (call->done) {
            return;
        }
        connectionTo(call->peer)->acquire([self = shared_from_this(), call](Result<PeerStubPtr> stub, bool fresh) {
            if (self->m_stopped || call->done) {
                return;
            }
            if (!stub) {
                self->finish(call);
                call->fail(stub.error());
                return;
            }
            self->startRpc(call, *stub, fresh);
        });
    }

    void startRpc(const CallPtr &call, const PeerStubPtr &stub, bool fresh)
    {
        auto rpc = call->makeRpc();
        const auto left = call->deadline - m_dependencies.timers.now();
        rpc->context.set_deadline(std::chrono::system_clock::now()
                                  + std::chrono::duration_cast<std::chrono::system_clock::duration>(left));
        call->rpc = rpc;
        call->stub = stub;
        m_rpcs.insert(rpc);
        m_outstanding->add();
        rpc->start(*stub, [self = shared_from_this(), call, rpc, stub, fresh](const grpc::Status &status) {
            self->m_dependencies.control.post(
                [self, call, rpc, fresh, status] { self->rpcFinished(call, rpc, fresh, status); });
            self->m_outstanding->remove();
        });
    }

    void rpcFinished(const CallPtr &call, const std::shared_ptr<PeerRpc> &rpc, bool fresh, const grpc::Status &status)
    {
        m_rpcs.erase(rpc);
        if (m_stopped || call->done) {
            return;
        }
        if (status.ok()) {
            finish(call);
            call->succeed(*rpc);
            return;
        }
        connectionTo(call->peer)->drop(call->stub);
        if (!fresh && status.error_code() == grpc::StatusCode::UNAVAILABLE) {
            // The peer had closed the reused connection, for example in a restart. Pushes and fetches can be repeated.
            attempt(call);
            return;
        }
        finish(call);
        call->fail(toError(status));
    }

    void timedOut(const CallPtr &call)
    {
        const auto rpc = call->rpc;
        const auto stub = call->stub;
        finish(call);
        if (rpc) {
            rpc->context.TryCancel();
            connectionTo(call->peer)->drop(stub);
        }
        call->fail({ErrorCode::OutcomeUnknown, "no response from " + call->peer.toString() + " before the timeout"});
    }

    void finish(const CallPtr &call)
    {
        call->done = true;
        call->timer.reset();
        call->rpc.reset();
        call->stub.reset();
        m_calls.erase(call);
    }

    std::shared_ptr<PeerConnection> connectionTo(const Endpoint &peer)
    {
        auto &connection = m_connections[peer];
        if (!connection) {
            connection = std::make_shared<PeerConnection>(m_options, m_dependencies, m_counters, peer);
        }
        return connection;
    }

    void sweep()
    {
        const auto now = m_dependencies.timers.now();
        for (const auto &[peer, connection] : m_connections) {
            connection->sweep(now);
        }
        std::erase_if(m_connections, [now](const auto &entry) { return entry.second->isUnused(now); });
    }

    const GrpcPeerClientOptions m_options;
    const GrpcPeerClientDependencies m_dependencies;
    PeerByteCounters m_counters;
    std::shared_ptr<OutstandingRpcs> m_outstanding;
    std::map<Endpoint, std::shared_ptr<PeerConnection>> m_connections;
    std::set<CallPtr> m_calls;
    std::set<std::shared_ptr<PeerRpc>> m_rpcs;
    bool m_stopped = false;
    TimerHandle m_sweepTimer;
};

Result<std::unique_ptr<GrpcPeerClient>> GrpcPeerClient::make(GrpcPeerClientOptions options,
                                                             GrpcPeerClientDependencies dependencies)
{
    std::error_code ec;
    asio::ip::make_address(options.localAddress, ec);
    if (ec) {
        return makeError(ErrorCode::InvalidArgument, "the local address is not an IP address");
    }
    auto impl = std::make_shared<Impl>(std::move(options), dependencies);
    impl->start();
    return std::unique_ptr<GrpcPeerClient>(new GrpcPeerClient(std::move(impl)));
}

GrpcPeerClient::GrpcPeerClient(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

GrpcPeerClient::~GrpcPeerClient()
{
    m_impl->stop();
}

void GrpcPeerClient::push(const Endpoint &peer, PushRequest request, Duration timeout, Callback<PushReply> callback)
{
    m_impl->call<PushRpc, PushRequest, PushReply>(peer, std::move(request), timeout, std::move(callback));
}

void GrpcPeerClient::fetch(const Endpoint &peer, FetchRequest request, Duration timeout, Callback<FetchReply> callback)
{
    m_impl->call<FetchRpc, FetchRequest, FetchReply>(peer, request, timeout, std::move(callback));
}

std::size_t GrpcPeerClient::connectionCount() const
{
    return m_impl->connectionCount();
}

} // namespace Hornbeam
