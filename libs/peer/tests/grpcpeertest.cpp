#include <hornbeam/base/asioruntime.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/peer/grpcpeerclient.h>
#include <hornbeam/peer/grpcpeerserver.h>

// Before CppUTest, which redefines operator new with a macro that asio's headers do not compile with.
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include <functional>
#include <optional>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

class RecordingService : public PeerService
{
public:
    PushReply handlePush(const PushRequest &request) override
    {
        lastPush = request;
        return {.outcome = PushOutcome::Applied, .version = request.version};
    }

    FetchReply handleFetch(const FetchRequest &request) override
    {
        lastFetch = request;
        return fetchReply;
    }

    PushRequest lastPush;
    FetchRequest lastFetch;
    FetchReply fetchReply;
};

PushRequest makePush()
{
    return {.version = 7,
            .contentDigest = Digest::of("content"),
            .delta = "delta",
            .zone = "turku",
            .range = {.first = 3, .last = 9},
            .sender = Endpoint("127.0.0.1", 7000)};
}

} // namespace

TEST_GROUP(GrpcPeer)
{
    asio::io_context context;
    AsioExecutor control{context};
    AsioTimerService timers{context};
    MetricsRegistry metrics;
    RecordingService service;
    std::unique_ptr<GrpcPeerServer> server;
    std::unique_ptr<GrpcPeerClient> client;

    void teardown() override
    {
        client.reset();
        server.reset();
    }

    void startServer(GrpcPeerServerOptions options)
    {
        server = GrpcPeerServer::make(
                     std::move(options),
                     {.context = context, .control = control, .timers = timers, .service = service, .metrics = metrics})
                     .value();
    }

    std::unique_ptr<GrpcPeerClient> makeClient(GrpcPeerClientOptions options)
    {
        options.localAddress = "127.0.0.1";
        return GrpcPeerClient::make(std::move(options),
                                    {.context = context, .control = control, .timers = timers, .metrics = metrics})
            .value();
    }

    void start()
    {
        startServer({.listen = Endpoint("127.0.0.1", 0)});
        client = makeClient({});
    }

    /** Runs the control thread until @p condition holds; fails after 10 s. */
    void runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            context.run_one_for(50ms);
        }
        CHECK(condition());
    }

    Result<PushReply> push(GrpcPeerClient & from, const Endpoint &peer, Duration timeout)
    {
        std::optional<Result<PushReply>> reply;
        from.push(peer, makePush(), timeout, [&reply](Result<PushReply> result) { reply = std::move(result); });
        CHECK_FALSE(reply.has_value());
        runUntil([&reply] { return reply.has_value(); });
        return *reply;
    }

    Result<FetchReply> fetch(const FetchRequest &request)
    {
        std::optional<Result<FetchReply>> reply;
        client->fetch(
            server->localEndpoint(), request, 5s, [&reply](Result<FetchReply> result) { reply = std::move(result); });
        runUntil([&reply] { return reply.has_value(); });
        return *reply;
    }
};

TEST(GrpcPeer, transfersAPush)
{
    start();
    const auto reply = push(*client, server->localEndpoint(), 5s);
    CHECK(reply->outcome == PushOutcome::Applied);
    CHECK_EQUAL(7, reply->version);
    CHECK(service.lastPush.contentDigest == makePush().contentDigest);
    CHECK(service.lastPush.range == makePush().range);
    CHECK(service.lastPush.sender == makePush().sender);
    STRCMP_EQUAL("delta", service.lastPush.delta.c_str());
    STRCMP_EQUAL("turku", service.lastPush.zone.c_str());
}

// Guards against a snapshot that cannot be fetched because it exceeds the maximum size of a gRPC message.
TEST(GrpcPeer, fetchesALargeSnapshotInChunks)
{
    start();
    service.fetchReply = {.version = 9, .deltas = {"one", "two"}, .snapshot = std::string(3'000'000, 'x')};
    const auto reply = fetch({.haveVersion = 4, .haveDigest = Digest::of("old")});
    CHECK_EQUAL(9, reply->version);
    CHECK(reply->deltas == service.fetchReply.deltas);
    CHECK(reply->snapshot == service.fetchReply.snapshot);
    CHECK_EQUAL(4, service.lastFetch.haveVersion);
    CHECK(service.lastFetch.haveDigest == Digest::of("old"));
}

// Guards against a peer that exhausts the memory of the node with an unbounded response.
TEST(GrpcPeer, rejectsAnOversizedResponse)
{
    start();
    service.fetchReply.snapshot = std::string(17 << 20, 'x');
    CHECK_FALSE(fetch({}).has_value());
}

// Guards against control traffic between nodes that is missing from the metrics.
TEST(GrpcPeer, countsTheBytesOfTheConnection)
{
    start();
    service.fetchReply.snapshot = std::string(1'000'000, 'x');
    CHECK(fetch({}).has_value());
    client.reset();
    server.reset();
    const auto sent = metrics.counter("hornbeam_peer_bytes_sent_total", "").value();
    const auto received = metrics.counter("hornbeam_peer_bytes_received_total", "").value();
    CHECK(sent > 1'000'000 && sent < 1'200'000);
    CHECK(received > 1'000'000 && received < 1'200'000);
}

TEST(GrpcPeer, usesOneConnectionPerPeer)
{
    start();
    for (int i = 0; i < 5; ++i) {
        CHECK(push(*client, server->localEndpoint(), 5s).has_value());
    }
    CHECK_EQUAL(1, client->connectionCount());
    CHECK_EQUAL(1, server->connectionCount());
}

// Guards against a first request that fails after each restart of a peer, because it uses the closed connection.
TEST(GrpcPeer, reconnectsAfterARestartOfThePeer)
{
    start();
    const auto address = server->localEndpoint();
    CHECK(push(*client, address, 5s).has_value());
    server.reset();
    startServer({.listen = address});
    CHECK(push(*client, address, 5s).has_value());
}

// Guards against reconnect storms: after a failed connect, requests must fail without a new attempt during the backoff.
TEST(GrpcPeer, backsOffAfterAFailedConnect)
{
    start();
    const auto address = server->localEndpoint();
    server.reset();
    client = makeClient({.reconnectBackoff = {.initial = 1h, .maximum = 1h, .seed = 1}});
    CHECK(push(*client, address, 5s).error().code() == ErrorCode::Unavailable);
    startServer({.listen = address});
    CHECK(push(*client, address, 5s).error().code() == ErrorCode::Unavailable);
}

// Guards against a request that never ends because the peer does not respond, and against reusing its connection.
TEST(GrpcPeer, dropsAConnectionAfterATimeout)
{
    client = makeClient({});
    asio::ip::tcp::acceptor silent(context, {asio::ip::make_address("127.0.0.1"), 0});
    const Endpoint address("127.0.0.1", silent.local_endpoint().port());
    const auto reply = push(*client, address, 150ms);
    CHECK(reply.error().code() == ErrorCode::OutcomeUnknown);
    CHECK_EQUAL(0, client->connectionCount());
}

TEST(GrpcPeer, closesIdleConnections)
{
    startServer({.listen = Endpoint("127.0.0.1", 0)});
    client = makeClient({.idleTimeout = 300ms});
    CHECK(push(*client, server->localEndpoint(), 5s).has_value());
    runUntil([this] { return client->connectionCount() == 0 && server->connectionCount() == 0; });
}

// Guards against idle connections that stay open because a client never closes them.
TEST(GrpcPeer, closesIdleConnectionsAtTheServer)
{
    startServer({.listen = Endpoint("127.0.0.1", 0), .idleTimeout = 300ms});
    client = makeClient({});
    CHECK(push(*client, server->localEndpoint(), 5s).has_value());
    runUntil([this] { return server->connectionCount() == 0 && client->connectionCount() == 0; });
}

// Guards against more connections than the maximum when many peers reconnect.
TEST(GrpcPeer, limitsTheConnections)
{
    startServer({.listen = Endpoint("127.0.0.1", 0), .maxConnections = 1});
    client = makeClient({});
    CHECK(push(*client, server->localEndpoint(), 5s).has_value());
    const auto second = makeClient({});
    CHECK_FALSE(push(*second, server->localEndpoint(), 600ms).has_value());
    CHECK_EQUAL(1, server->connectionCount());
    client.reset();
    runUntil([this] { return server->connectionCount() == 0; });
    CHECK(push(*second, server->localEndpoint(), 5s).has_value());
}

// Guards against a deadlock when the control thread stops the server while a request waits for the control thread.
TEST(GrpcPeer, stopsWithWaitingRequests)
{
    start();
    asio::io_context other;
    AsioExecutor otherControl(other);
    server =
        GrpcPeerServer::make(
            {.listen = Endpoint("127.0.0.1", 0)},
            {.context = context, .control = otherControl, .timers = timers, .service = service, .metrics = metrics})
            .value();
    CHECK_FALSE(push(*client, server->localEndpoint(), 300ms).has_value());
    server.reset();
    other.run();
    CHECK_EQUAL(0, service.lastPush.version);
}

TEST(GrpcPeer, reportsAnAddressInUse)
{
    start();
    const auto second = GrpcPeerServer::make(
        {.listen = server->localEndpoint()},
        {.context = context, .control = control, .timers = timers, .service = service, .metrics = metrics});
    CHECK(second.error().code() == ErrorCode::Unavailable);
}
