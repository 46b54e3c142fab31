#include "recordinglistener.h"
#include "scriptedserver.h"

#include <hornbeam/base/asioruntime.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/store/etcdprotocol.h>
#include <hornbeam/store/etcdstore.h>

#include <CppUTest/TestHarness.h>

#include <limits>
#include <optional>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr auto testBound = 10s;

Transaction putOnly()
{
    return {.compares = {}, .success = {Operation::put("/a", "1")}, .failure = {}};
}

std::string chunk(const std::string &text)
{
    char length[16];
    std::snprintf(length, sizeof length, "%zx\r\n", text.size());
    return length + text + "\r\n";
}

} // namespace

TEST_GROUP(EtcdStore)
{
    asio::io_context context;
    AsioExecutor executor{context};
    MetricsRegistry metrics;
    RecordingListener listener;
    std::unique_ptr<HttpStore> store;

    void connect(const Endpoint &endpoint)
    {
        connect({.endpoints = {endpoint}, .requestTimeout = 300ms, .watchIdleTimeout = 500ms});
    }

    void connect(EtcdStoreOptions options)
    {
        store = std::move(*EtcdStore::make(std::move(options), executor, metrics));
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + testBound;
        context.restart();
        const auto work = asio::make_work_guard(context);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(10ms);
        }
        CHECK(condition());
    }

    Result<TransactionResult> commit()
    {
        std::optional<Result<TransactionResult>> answer;
        store->commit(putOnly(), [&](Result<TransactionResult> result) { answer = std::move(result); });
        runUntil([&] { return answer.has_value(); });
        return answer ? *answer : makeError(ErrorCode::Internal, "no answer");
    }

    Result<RangeResult> range()
    {
        std::optional<Result<RangeResult>> answer;
        store->range({.key = "/a"}, [&](Result<RangeResult> result) { answer = std::move(result); });
        runUntil([&] { return answer.has_value(); });
        return answer ? *answer : makeError(ErrorCode::Internal, "no answer");
    }

    std::uint64_t counter(const char *name)
    {
        return metrics.counter(name, "").value();
    }

    void teardown() override
    {
        store.reset();
    }
};

// Guards against requests that etcd's gateway rejects and responses that are misread: in its messages, keys and values
// are base64 and integers are strings.
TEST(EtcdStore, usesTheMessagesOfTheGateway)
{
    ScriptedRequest seen;
    ScriptedServer server([&](const ScriptedRequest &request) {
        seen = request;
        return ScriptedReply{okResponse(R"({"header":{"revision":"7"},"kvs":[{"key":"L2E=","value":"MQ==",)"
                                        R"("create_revision":"3","mod_revision":"5","lease":"9"}],"count":"1"})")};
    });
    connect(server.endpoint());
    const auto result = range();
    STRCMP_EQUAL("/v3/kv/range", seen.path.c_str());
    STRCMP_EQUAL(R"({"key":"L2E="})", seen.body.c_str());
    CHECK_EQUAL(7, result->revision);
    const KeyValue expected{.key = "/a", .value = "1", .createRevision = 3, .modRevision = 5, .lease = 9};
    CHECK(expected == result->entries.at(0));
}

// Guards against reporting a refused connection as a write of unknown outcome, which would prevent a retry.
TEST(EtcdStore, reportsARefusedConnectionAsUnavailable)
{
    Endpoint unused;
    {
        const ScriptedServer server([](const ScriptedRequest &) { return ScriptedReply{}; });
        unused = server.endpoint();
    }
    connect(unused);
    CHECK(ErrorCode::Unavailable == commit().error().code());
}

// Guards against reporting a write as not executed when the server has received it but never responds.
TEST(EtcdStore, reportsAMissingResponseAsUnknownForWritesOnly)
{
    ScriptedServer server([](const ScriptedRequest &) { return ScriptedReply{}; });
    connect(server.endpoint());
    CHECK(ErrorCode::OutcomeUnknown == commit().error().code());
    CHECK(ErrorCode::Unavailable == range().error().code());
}

// Guards against a server that fills the memory with a response, or with a message of a watch, that does not end.
TEST(EtcdStore, failsAResponseThatIsTooLarge)
{
    constexpr std::size_t bytes = std::size_t{32} * 1024 * 1024;
    ScriptedServer server([&](const ScriptedRequest &) { return ScriptedReply{okResponse(std::string(bytes, 'x'))}; });
    connect({.endpoints = {server.endpoint()}, .requestTimeout = 5s, .watchIdleTimeout = 5s});
    CHECK(ErrorCode::Unavailable == range().error().code());
    CHECK(ErrorCode::OutcomeUnknown == commit().error().code());
    CHECK(counter("hornbeam_store_bytes_received_total") < std::uint64_t{2} * bytes);
    const auto before = counter("hornbeam_store_bytes_received_total");
    const auto watch = store->watch({.prefix = "/a", .startRevision = 1}, listener);
    runUntil([&] { return listener.end.has_value(); });
    CHECK(counter("hornbeam_store_bytes_received_total") - before < bytes);
}

// Guards against a part of a response that is taken for the whole one, so that a write of unknown outcome counts as
// done: the store answers a long write early, without a length, and resets the connection.
TEST(EtcdStore, failsAResponseThatIsResetDuringItsRequest)
{
    const std::string part = "HTTP/1.1 200 OK\r\n\r\n"
                             R"({"header":{"revision":"7"},"succeeded":true})";
    const Transaction large = {.compares = {},
                               .success = {Operation::put("/a", std::string(std::size_t{16} * 1024 * 1024, 'v'))},
                               .failure = {}};
    for (const bool reset : {true, false}) {
        ScriptedServer server(
            [&](const ScriptedRequest &) { return ScriptedReply{.bytes = part, .close = true, .reset = reset}; },
            reset ? ScriptedServer::Reads::Head : ScriptedServer::Reads::Whole);
        connect({.endpoints = {server.endpoint()}, .requestTimeout = 5s, .watchIdleTimeout = 5s});
        std::optional<Result<TransactionResult>> answer;
        store->commit(large, [&](Result<TransactionResult> result) { answer = std::move(result); });
        runUntil([&] { return answer.has_value(); });
        CHECK_EQUAL(!reset, answer->has_value());
        CHECK(!reset || ErrorCode::OutcomeUnknown == answer->error().code());
    }
}

// Guards against libcurl's automatic retry when a pooled connection is closed: the store may have executed the first
// copy of a write, and the second one would then report a failed comparison.
TEST(EtcdStore, neverSendsAWriteTwice)
{
    std::atomic<int> writes = 0;
    ScriptedServer server([&](const ScriptedRequest &request) {
        if (request.path == EtcdProtocol::transactionPath) {
            ++writes;
            return ScriptedReply{.bytes = {}, .close = true};
        }
        return ScriptedReply{okResponse("{}")};
    });
    connect(server.endpoint());
    // A successful call puts a connection into the pool, because libcurl retries only on a reused one. It comes first,
    // since after a failure the store opens new connections for some seconds.
    CHECK(range().has_value());
    CHECK(ErrorCode::OutcomeUnknown == commit().error().code());
    CHECK_EQUAL(1, writes.load());
}

TEST(EtcdStore, mapsTheRateLimitToOverloaded)
{
    ScriptedServer server([](const ScriptedRequest &) {
        return ScriptedReply{"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"};
    });
    connect(server.endpoint());
    CHECK(ErrorCode::Overloaded == commit().error().code());
}

// Guards against reporting a write as not executed when etcd's own timeout ended it; it may still take effect.
TEST(EtcdStore, mapsAServerErrorOfAWriteToUnknown)
{
    ScriptedServer server([](const ScriptedRequest &) {
        return ScriptedReply{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"};
    });
    connect(server.endpoint());
    CHECK(ErrorCode::OutcomeUnknown == commit().error().code());
    CHECK(ErrorCode::Unavailable == range().error().code());
}

TEST(EtcdStore, limitsTheCallsInFlight)
{
    ScriptedServer server([](const ScriptedRequest &) { return ScriptedReply{}; });
    connect({.endpoints = {server.endpoint()}, .requestTimeout = 300ms, .maxCallsInFlight = 1});
    store->range({.key = "/a"}, [](const Result<RangeResult> &) {});
    CHECK(ErrorCode::Overloaded == commit().error().code());
}

// Guards against byte counters that leave out HTTP framing: the control traffic per node is measured with them.
TEST(EtcdStore, countsTheBytesOnTheWire)
{
    ScriptedServer server([](const ScriptedRequest &) { return ScriptedReply{okResponse("{}")}; });
    connect(server.endpoint());
    CHECK(commit().has_value());
    CHECK(range().has_value());
    CHECK_EQUAL(server.bytesReceived(), counter("hornbeam_store_bytes_sent_total"));
    CHECK_EQUAL(server.bytesSent(), counter("hornbeam_store_bytes_received_total"));
    CHECK_EQUAL(1, metrics.counter("hornbeam_store_calls_total", "", {{"call", "range"}}).value());
}

// Guards against connections from another source address, by which tests partition the network per zone.
TEST(EtcdStore, connectsFromItsLocalAddress)
{
    std::string peer;
    ScriptedServer server([&](const ScriptedRequest &request) {
        peer = request.peerAddress;
        return ScriptedReply{okResponse("{}")};
    });
    connect({.endpoints = {server.endpoint()}, .localAddress = "127.0.0.77"});
    CHECK(range().has_value());
    STRCMP_EQUAL("127.0.0.77", peer.c_str());
}

TEST(EtcdStore, usesTheNextEndpointAfterAFailure)
{
    ScriptedServer silent([](const ScriptedRequest &) { return ScriptedReply{}; });
    ScriptedServer working([](const ScriptedRequest &) { return ScriptedReply{okResponse("{}")}; });
    connect({.endpoints = {silent.endpoint(), working.endpoint()}, .requestTimeout = 200ms});
    CHECK_FALSE(range().has_value());
    CHECK(range().has_value());
}

// Guards against an outdated configuration that stays in effect because the connection of its watch is dead.
TEST(EtcdStore, endsAWatchThatReceivesNothing)
{
    const std::string created = R"({"result":{"header":{"revision":"4"},"created":true}})";
    const std::string event = R"({"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"L2E=","value":"MQ==",)"
                              R"("create_revision":"5","mod_revision":"5"}},{"type":"DELETE",)"
                              R"("kv":{"key":"L2I=","mod_revision":"5"}}]}})";
    ScriptedRequest seen;
    ScriptedServer server([&](const ScriptedRequest &request) {
        seen = request;
        return ScriptedReply{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(created + "\n")
                             + chunk(event + "\n")};
    });
    connect(server.endpoint());
    const auto watch = store->watch({.prefix = "/", .startRevision = 5}, listener);
    runUntil([&] { return listener.end.has_value(); });
    CHECK(ErrorCode::Unavailable == listener.end->code());
    STRCMP_EQUAL(R"({"create_request":{"key":"Lw==","progress_notify":true,"range_end":"MA==","start_revision":"5"}})",
                 seen.body.c_str());
    CHECK_EQUAL(2, listener.changes.size());
    CHECK_EQUAL(0, listener.changes.at(1).createRevision);
    CHECK_EQUAL(server.bytesSent(), counter("hornbeam_store_bytes_received_total"));
    CHECK_EQUAL(server.bytesReceived(), counter("hornbeam_store_bytes_sent_total"));
}

// Guards against a lease that is used after the restoration of the cluster that granted it.
TEST(EtcdStore, readsTheGenerationOfLeasesAndTransactions)
{
    ScriptedServer server([](const ScriptedRequest &request) {
        return ScriptedReply{
            request.path == EtcdProtocol::leaseGrantPath
                ? okResponse(R"({"header":{"cluster_id":"3","revision":"4"},"ID":"5","TTL":"60"})")
                : okResponse(R"({"header":{"cluster_id":"18446744073709551615","revision":"5"},"succeeded":true})")};
    });
    connect(server.endpoint());
    std::optional<Result<LeaseGrant>> grant;
    store->grantLease(60s, [&](const Result<LeaseGrant> &answer) { grant = answer; });
    std::optional<Result<TransactionResult>> written;
    store->commit({}, [&](const Result<TransactionResult> &answer) { written = answer; });
    runUntil([&] { return grant && written; });
    CHECK((*grant)->generation == StoreGeneration(3));
    CHECK((*written)->generation == std::numeric_limits<StoreGeneration>::max());
}

// Guards against changes that a watch misses because a cluster restored from a snapshot gives revisions out again.
TEST(EtcdStore, endsAWatchWhenTheClusterWasRestored)
{
    const std::string event = R"({"result":{"header":{"cluster_id":"18446744073709551615","revision":"5"},"events":)"
                              R"([{"kv":{"key":"L2E=","value":"MQ==","create_revision":"5","mod_revision":"5"}}]}})";
    ScriptedServer server([&](const ScriptedRequest &request) {
        if (request.path == EtcdProtocol::rangePath) {
            return ScriptedReply{okResponse(R"({"header":{"cluster_id":"14841639068965178418","revision":"4"}})")};
        }
        return ScriptedReply{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event + "\n")};
    });
    connect(server.endpoint());
    const auto read = range();
    const auto watch = store->watch({.prefix = "/", .startRevision = 5, .generation = read->generation}, listener);
    runUntil([&] { return listener.end.has_value(); });
    CHECK(ErrorCode::Conflict == listener.end->code());
    CHECK(listener.changes.empty());
}

TEST(EtcdStore, refusesOptionsOutOfRange)
{
    const Endpoint endpoint("127.0.0.1", 1);
    CHECK(ErrorCode::InvalidArgument == EtcdStore::make({}, executor, metrics).error().code());
    CHECK_FALSE(EtcdStore::make({.endpoints = {endpoint}, .localAddress = "eth0"}, executor, metrics).has_value());
    CHECK_FALSE(EtcdStore::make({.endpoints = {endpoint}, .maxCallsInFlight = 0}, executor, metrics).has_value());
}
