#include "storestandin.h"
#include "recordinglistener.h"

#include <hornbeam/base/asioruntime.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/claims/storeclaimcoordinator.h>
#include <hornbeam/store/etcdstore.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <cstdio>
#include <future>
#include <optional>

// Last, because CppUTest's macro for operator new breaks headers that use placement new.
#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr auto testTimeout = 10s;

Transaction createOnly(const std::string &key, const std::string &value, LeaseId lease = 0)
{
    return {.compares = {{.key = key, .field = Compare::Field::CreateRevision, .revision = 0}},
            .success = {Operation::put(key, value, lease)},
            .failure = {Operation::get(key)}};
}

/** Sends one HTTP request and reads the response until the connection closes. Blocks. */
std::string httpCall(const Endpoint &endpoint, const std::string &methodAndPath, const std::string &body)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(endpoint.address()), endpoint.port()});
    const std::string request = methodAndPath + " HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::write(socket, asio::buffer(request));
    std::string response;
    std::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response;
}

} // namespace

// Connects an EtcdStore client to the stand-in over TCP; both run on the thread of the test.
TEST_GROUP(StoreStandin)
{
    asio::io_context context;
    AsioExecutor executor{context};
    MetricsRegistry metrics;
    std::unique_ptr<StoreStandin> standin;
    std::unique_ptr<HttpStore> store;
    RecordingListener listener;

    void setup() override
    {
        start({.progressInterval = 50ms});
    }

    void teardown() override
    {
        store.reset();
        standin.reset();
    }

    void start(StoreStandinOptions options)
    {
        store.reset();
        standin = std::move(*StoreStandin::make(std::move(options), context));
        store = std::move(*EtcdStore::make({.endpoints = {standin->localEndpoint()},
                                            .requestTimeout = 300ms,
                                            .watchIdleTimeout = 500ms,
                                            .maxCallsInFlight = 1000},
                                           executor,
                                           metrics));
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        context.restart();
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(10ms);
        }
        CHECK(condition());
    }

    template <typename T, typename Call>
    Result<T> wait(Call call)
    {
        std::optional<Result<T>> response;
        call([&](Result<T> result) { response = std::move(result); });
        runUntil([&] { return response.has_value(); });
        return response ? *response : makeError(ErrorCode::Internal, "no response from the store");
    }

    Result<TransactionResult> commit(const Transaction &transaction)
    {
        return wait<TransactionResult>([&](auto callback) { store->commit(transaction, callback); });
    }

    Result<RangeResult> range(const RangeRequest &request)
    {
        return wait<RangeResult>([&](auto callback) { store->range(request, callback); });
    }

    std::string http(const std::string &methodAndPath, const std::string &body)
    {
        auto response = std::async(std::launch::async, httpCall, standin->localEndpoint(), methodAndPath, body);
        runUntil([&] { return response.wait_for(0s) == std::future_status::ready; });
        return response.get();
    }

    void control(const std::string &json)
    {
        STRCMP_CONTAINS("200 OK", http("POST /control", json).c_str());
    }
};

TEST(StoreStandin, runsNestedTransactions)
{
    CHECK(commit(createOnly("/b", "old"))->succeeded);
    const auto result = commit({.compares = {},
                                .success = {Operation::transaction(createOnly("/a", std::string("\0\xff", 2))),
                                            Operation::transaction(createOnly("/b", "new"))},
                                .failure = {}});
    CHECK(result->results.at(0).nested.at(0).succeeded);
    CHECK_FALSE(result->results.at(1).nested.at(0).succeeded);
    STRCMP_EQUAL("old", result->results.at(1).nested.at(0).results.at(0).entries.at(0).value.c_str());
    const auto entries = range({.key = "/", .prefix = true});
    CHECK_EQUAL(2, entries->entries.size());
    CHECK(std::string("\0\xff", 2) == entries->entries.at(0).value);
    CHECK_EQUAL(1, range({.key = "", .prefix = true, .limit = 1, .keysOnly = true})->entries.size());
}

TEST(StoreStandin, grantsExtendsAndRevokesLeases)
{
    const auto grant = wait<LeaseGrant>([&](auto callback) { store->grantLease(60s, callback); });
    CHECK(60s == grant->timeToLive);
    commit(createOnly("/a", "1", grant->id));
    CHECK(wait<LeaseGrant>([&](auto callback) { store->keepLeaseAlive(grant->id, callback); })->timeToLive == 60s);
    CHECK(wait<bool>([&](auto callback) { store->revokeLease(grant->id, callback); }).has_value());
    CHECK(range({.key = "/a"})->entries.empty());
    const auto expired = wait<LeaseGrant>([&](auto callback) { store->keepLeaseAlive(grant->id, callback); });
    CHECK(ErrorCode::NotFound == expired.error().code());
}

// Guards against ending a quiet watch by the client's idle timeout of 500 ms: the progress messages, sent every 50 ms,
// must keep it alive.
TEST(StoreStandin, streamsChangesAndProgress)
{
    const auto watch = store->watch({.prefix = "/p/", .startRevision = 1}, listener);
    const auto quietUntil = std::chrono::steady_clock::now() + 800ms;
    runUntil([&] { return std::chrono::steady_clock::now() > quietUntil; });
    CHECK_FALSE(listener.end.has_value());
    commit(createOnly("/p/a", "1"));
    commit({.compares = {}, .success = {Operation::remove("/p/a")}, .failure = {}});
    runUntil([&] { return listener.changes.size() == 2; });
    STRCMP_EQUAL("1", listener.changes.at(0).value.c_str());
    CHECK_EQUAL(0, listener.changes.at(1).createRevision);
    STRCMP_CONTAINS("\"waiting_watches\":1", http("GET /control/stats", "").c_str());
}

// Guards against counting a watch for ever after its connection closed: each counted watch lowers the read rate.
TEST(StoreStandin, removesTheWatchOfAClosedConnection)
{
    auto watch = store->watch({.prefix = "/"}, listener);
    runUntil([&] { return http("GET /control/stats", "").find("\"waiting_watches\":1") != std::string::npos; });
    watch.reset();
    runUntil([&] { return http("GET /control/stats", "").find("\"waiting_watches\":0") != std::string::npos; });
}

TEST(StoreStandin, refusesCallsAndEndsWatchesWhileDown)
{
    const auto watch = store->watch({.prefix = "/"}, listener);
    CHECK(range({.key = "/a"}).has_value());
    control(R"({"down":true})");
    runUntil([&] { return listener.end.has_value(); });
    CHECK(ErrorCode::Unavailable == range({.key = "/a"}).error().code());
    control(R"({"down":false})");
    CHECK(range({.key = "/a"}).has_value());
}

TEST(StoreStandin, withholdsResponsesOfAppliedWrites)
{
    control(R"({"lose_answers":1})");
    CHECK(ErrorCode::OutcomeUnknown == commit(createOnly("/a", "1")).error().code());
    CHECK_EQUAL(1, range({.key = "/a"})->entries.size());
    control(R"({"lose_answers_prefix":"/x/"})");
    CHECK(ErrorCode::OutcomeUnknown == commit(createOnly("/x/a", "1")).error().code());
    CHECK(commit(createOnly("/y", "1")).has_value());
    CHECK_EQUAL(1, range({.key = "/x/a"})->entries.size());
}

TEST(StoreStandin, servesStaleReads)
{
    commit(createOnly("/a", "1"));
    commit(createOnly("/b", "1"));
    control(R"({"stale_reads":1})");
    CHECK_EQUAL(1, range({.key = "/", .prefix = true})->entries.size());
}

TEST(StoreStandin, silenceEndsWatchesAndFailsReads)
{
    const auto watch = store->watch({.prefix = "/"}, listener);
    CHECK(range({.key = "/a"}).has_value());
    control(R"({"silent":true})");
    runUntil([&] { return listener.end.has_value(); });
    CHECK(ErrorCode::Unavailable == range({.key = "/a"}).error().code());
}

// Guards against a stand-in that is faster than the platform's store: of 6 writes at 20 per second, the last waits for
// 200 ms.
TEST(StoreStandin, limitsTheRateOfWrites)
{
    start({.writesPerSecond = 20});
    int succeeded = 0;
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < 6; ++i) {
        store->commit(createOnly("/" + std::to_string(i), ""),
                      [&](const auto &result) { succeeded += result ? 1 : 0; });
    }
    runUntil([&] { return succeeded == 6; });
    CHECK(std::chrono::steady_clock::now() - began >= 150ms);
    control(R"({"refuse_above_rate":true,"writes_per_second":1})");
    commit(createOnly("/x", ""));
    CHECK(ErrorCode::Overloaded == commit(createOnly("/y", "")).error().code());
}

// Guards against claims that work with the in-memory store only: batches, lost responses and binary records must also
// work through the HTTP protocol and the rate limit of the platform's store.
TEST(StoreStandin, supportsClaimsOverHttp)
{
    AsioTimerService timers(context);
    const auto coordinator =
        std::move(*StoreClaimCoordinator::make({.maxWait = 5s}, {*store, executor, timers, metrics}));
    constexpr int count = 2000;
    int granted = 0;
    std::optional<ClaimTicket> ticket;
    control(R"({"lose_answers":2})"); // The responses to the lease grant and to the first batch.
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i) {
        coordinator->claim(Digest::of(std::to_string(i)), timers.now() + 8s, [&](const ClaimDecision &decision) {
            granted += decision.outcome == ClaimOutcome::Granted ? 1 : 0;
            ticket = decision.ticket;
        });
    }
    runUntil([&] { return granted == count; });
    const auto elapsed = std::chrono::steady_clock::now() - began;
    std::printf("%d claims in %lld ms ",
                count,
                static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()));
    const RecordedResponse response{.status = 200, .headers = {}, .body = std::string("\0\xff", 2)};
    coordinator->complete(*ticket, response);
    std::optional<ClaimDecision> retry;
    coordinator->claim(ticket->identity, timers.now() + 5s, [&](ClaimDecision decision) { retry = decision; });
    runUntil([&] { return retry.has_value(); });
    CHECK(retry->outcome == ClaimOutcome::Completed);
    CHECK(retry->response == response);
}

TEST(StoreStandin, rejectsUnknownControlFields)
{
    STRCMP_CONTAINS("400", http("POST /control", R"({"dwon":true})").c_str());
}
