#include "proxyfixture.h"

#include <nlohmann/json.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Sends pieces of 64 KiB until @p bytes are sent. */
bool sendMany(TestSocket &connection, std::size_t bytes)
{
    const std::string piece(65536, 'x');
    for (std::size_t sent = 0; sent < bytes; sent += piece.size()) {
        if (!connection.send(piece)) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_GROUP(ProxyServer)
{
    ProxyFixture proxy;
};

TEST(ProxyServer, forwardsRequestAndResponse)
{
    TestMessage seen;
    TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        seen = request;
        return connection.send(
            TestTarget::response("201 Created", "done", "X-Rota: 3\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"));
    });
    proxy.addTarget(target);
    proxy.start();
    const auto response = proxy.call(ProxyFixture::post("/shifts?day=2", "abc", "X-Hop: 1\r\nConnection: x-hop\r\n"));
    CHECK(response.has_value());
    CHECK_EQUAL(201, response->status());
    STRCMP_EQUAL("done", response->body.c_str());
    STRCMP_EQUAL("3", response->header("x-rota").c_str());
    STRCMP_EQUAL("7", response->header("x-hornbeam-version").c_str());
    STRCMP_EQUAL("", response->header("x-hop").c_str());
    STRCMP_EQUAL("POST /shifts?day=2 HTTP/1.1", seen.startLine.c_str());
    STRCMP_EQUAL("abc", seen.body.c_str());
    STRCMP_EQUAL("", seen.header("x-hop").c_str());
    const auto left = std::stoi(seen.header("x-hornbeam-deadline-ms"));
    CHECK(left > 0 && left <= 5000);
}

// Guards against a new connection for each request on either side of the proxy.
TEST(ProxyServer, reusesConnectionsOnBothSides)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    for (int i = 0; i < 5; ++i) {
        socket.send(ProxyFixture::get("/"));
        CHECK_EQUAL(200, socket.read().value().status());
    }
    CHECK_EQUAL(1, target.connections());
}

// Guards against responses in the wrong order when a caller pipelines requests.
TEST(ProxyServer, answersPipelinedRequestsInOrder)
{
    TestTarget target([](const TestMessage &request, TestSocket &connection) {
        return connection.send(TestTarget::response("200 OK", request.startLine));
    });
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/a") + ProxyFixture::post("/b", "x") + ProxyFixture::get("/c"));
    STRCMP_EQUAL("GET /a HTTP/1.1", socket.read().value().body.c_str());
    STRCMP_EQUAL("POST /b HTTP/1.1", socket.read().value().body.c_str());
    STRCMP_EQUAL("GET /c HTTP/1.1", socket.read().value().body.c_str());
}

TEST(ProxyServer, streamsLargeBodiesBothWays)
{
    constexpr std::size_t bytes = 8 << 20;
    std::size_t received = 0;
    TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        received = request.body.size();
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 128; ++i) {
            connection.send("10000\r\n" + std::string(65536, 'y') + "\r\n");
        }
        return connection.send("0\r\n\r\n");
    });
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    socket.send("POST /import HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n");
    CHECK(sendMany(socket, bytes));
    const auto response = socket.read();
    CHECK(response.has_value());
    CHECK(response->complete);
    CHECK_EQUAL(bytes, received);
    CHECK_EQUAL(bytes, response->body.size());
}

TEST(ProxyServer, forwardsChunkedRequests)
{
    TestTarget target([](const TestMessage &request, TestSocket &connection) {
        return connection.send(TestTarget::response("200 OK", request.body));
    });
    proxy.addTarget(target);
    proxy.start();
    const auto response =
        proxy.call("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    STRCMP_EQUAL("abcde", response.value().body.c_str());
    std::string large;
    for (int i = 0; i < 20; ++i) {
        large += "4000\r\n" + std::string(0x4000, 'z') + "\r\n";
    }
    const auto streamed =
        proxy.call("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + large + "0\r\n\r\n");
    CHECK_EQUAL(std::size_t{20} * 0x4000, streamed.value().body.size());
}

// Guards against unbounded buffering: a caller that does not read must stop the target from sending.
TEST(ProxyServer, appliesBackPressure)
{
    std::atomic<std::size_t> sent = 0;
    TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1073741824\r\n\r\n");
        const std::string piece(65536, 'x');
        while (connection.send(piece)) {
            sent += piece.size();
        }
        return false;
    });
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/export"));
    std::size_t before = 1;
    int unchanged = 0;
    // The number of bytes stops growing when the socket buffers on both sides are full.
    CHECK(ProxyFixture::waitUntil([&] {
        const auto now = sent.load();
        unchanged = now == before && now > 0 ? unchanged + 1 : 0;
        before = now;
        return unchanged > 100;
    }));
    CHECK(sent < 64U << 20);
}

TEST(ProxyServer, answersHeadWithoutBody)
{
    TestTarget target([](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
    });
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    for (int i = 0; i < 2; ++i) {
        socket.send("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n");
        STRCMP_EQUAL("100", socket.read(false).value().header("content-length").c_str());
    }
}

TEST(ProxyServer, forwardsStatusesWithoutBody)
{
    std::string status = "204 No Content";
    TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send("HTTP/1.1 " + status + "\r\n\r\n");
    });
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/"));
    CHECK_EQUAL(204, socket.read(false).value().status());
    status = "304 Not Modified";
    socket.send(ProxyFixture::get("/"));
    CHECK_EQUAL(304, socket.read(false).value().status());
}

TEST(ProxyServer, sendsContinueBeforeTheBody)
{
    TestTarget target([](const TestMessage &request, TestSocket &connection) {
        return connection.send(TestTarget::response("200 OK", request.body));
    });
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    socket.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK_EQUAL(100, socket.read(false).value().status());
    socket.send("hi");
    STRCMP_EQUAL("hi", socket.read().value().body.c_str());
}

// Guards against request smuggling: a request that two parsers can interpret differently must not reach a target.
TEST(ProxyServer, refusesAmbiguousRequests)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    const std::vector<std::string> requests = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET /a/../book HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /a/%2e%2E/book HTTP/1.1\r\nHost: a\r\n\r\n",
        "nonsense\r\n\r\n",
    };
    for (const auto &request : requests) {
        const auto response = proxy.call(request);
        CHECK_TEXT(response.has_value(), request.c_str());
        CHECK_EQUAL_TEXT(400, response->status(), request.c_str());
        STRCMP_EQUAL("not-run", response->header("x-hornbeam-outcome").c_str());
    }
    CHECK_EQUAL(0, target.requests());
}

TEST(ProxyServer, refusesOversizedInput)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.options.maxHeaderBytes = 2048;
    proxy.service.maxRequestBytes = 1000;
    proxy.addTarget(target);
    proxy.start();
    CHECK_EQUAL(431, proxy.call(ProxyFixture::get("/", "X: " + std::string(4000, 'a') + "\r\n")).value().status());
    CHECK_EQUAL(413, proxy.call(ProxyFixture::post("/", std::string(2000, 'a'))).value().status());
    const auto chunked = proxy.call("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
                                    + std::string(2000, 'a') + "\r\n0\r\n\r\n");
    CHECK_EQUAL(413, chunked.value().status());
    CHECK_EQUAL(0, target.requests());
}

// Guards against a truncated response, such as an export, that looks complete to its caller.
TEST(ProxyServer, neverCompletesATruncatedResponse)
{
    std::string head = "Content-Length: 1000\r\n\r\n" + std::string(500, 'x');
    TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        connection.send("HTTP/1.1 200 OK\r\n" + head);
        return false;
    });
    proxy.addTarget(target);
    proxy.start();
    const auto sized = proxy.call(ProxyFixture::get("/"));
    CHECK(!sized || !sized->complete);
    head = "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n";
    const auto chunked = proxy.call(ProxyFixture::get("/"));
    CHECK(!chunked || !chunked->complete);
    // A close-delimited body that is truncated would look complete.
    head = "\r\nabcde";
    CHECK_EQUAL(502, proxy.call(ProxyFixture::get("/")).value().status());
}

// Guards against targets that go on working for callers that have disconnected.
TEST(ProxyServer, cancelsTheRequestWhenTheCallerDisconnects)
{
    std::atomic<bool> started = false;
    std::atomic<bool> cancelled = false;
    TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        started = true;
        cancelled = connection.waitClosed();
        return false;
    });
    proxy.service.attemptTimeout = 10s;
    proxy.timeout = 20s;
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/"));
    CHECK(ProxyFixture::waitUntil([&] { return started.load(); }));
    socket.close();
    CHECK(ProxyFixture::waitUntil([&] { return cancelled.load(); }));
    CHECK(ProxyFixture::waitUntil([&] { return proxy.server->requestsInFlight() == 0; }));
    // The proxy itself closed the connection, so this is not a crash of the target.
    CHECK_EQUAL(0, proxy.crashes.crashed().size());
}

TEST(ProxyServer, refusesUntilReadyAndWithoutRoute)
{
    proxy.start();
    auto state = std::make_shared<RoutingState>();
    state->snapshot = Snapshot::empty();
    proxy.server->publish(state);
    auto response = proxy.call(ProxyFixture::get("/")).value();
    CHECK_EQUAL(503, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    state = std::make_shared<RoutingState>(*state);
    state->ready = true;
    proxy.server->publish(state);
    CHECK_EQUAL(404, proxy.call(ProxyFixture::get("/")).value().status());
}

// Guards against an unbounded number of connections in a reconnect storm.
TEST(ProxyServer, limitsAcceptedConnections)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.options.maxConnections = 2;
    proxy.options.threads = 2;
    proxy.addTarget(target);
    proxy.start();
    auto first = proxy.connect();
    auto second = proxy.connect();
    for (auto *socket : {&first, &second}) {
        socket->send(ProxyFixture::get("/"));
        CHECK_EQUAL(200, socket->read().value().status());
    }
    auto third = proxy.connect();
    third.send(ProxyFixture::get("/"));
    CHECK(third.staysOpenAndIdle(100));
    first.close();
    CHECK_EQUAL(200, third.read().value().status());
}

TEST(ProxyServer, reportsAnAddressInUse)
{
    proxy.start();
    auto options = proxy.options;
    options.listen = proxy.server->localEndpoint();
    const auto second =
        ProxyServer::make(options, {.claims = proxy.claims, .crashes = proxy.crashes, .metrics = proxy.metrics});
    CHECK(!second);
    CHECK(second.error().code() == ErrorCode::Unavailable);
}

// Guards against a planned shutdown that interrupts a request in flight.
TEST(ProxyServer, drainsGracefully)
{
    std::atomic<bool> release = false;
    TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        ProxyFixture::waitUntil([&] { return release.load(); });
        return connection.send(TestTarget::response("200 OK", "late"));
    });
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    auto idle = proxy.connect();
    socket.send(ProxyFixture::get("/"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    std::atomic<int> drained = 0;
    proxy.server->drain([&] { ++drained; });
    CHECK(idle.waitClosed());
    CHECK_EQUAL(0, drained.load());
    CHECK(!proxy.connect().send("") || !proxy.call(ProxyFixture::get("/")));
    release = true;
    const auto response = socket.read();
    CHECK(response.has_value());
    STRCMP_EQUAL("late", response->body.c_str());
    STRCMP_EQUAL("close", response->header("connection").c_str());
    CHECK(ProxyFixture::waitUntil([&] { return drained.load() == 1; }));
}

// Guards against a node that ends before the callers know of its shutdown because it has no connection at that moment.
TEST(ProxyServer, acceptsConnectionsDuringTheStopNotice)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.options.stopNotice = 300ms;
    proxy.start();
    std::atomic<bool> drained = false;
    proxy.server->drain([&] { drained = true; });
    std::this_thread::sleep_for(100ms);
    CHECK(!drained);
    CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/")).value().status());
    CHECK(ProxyFixture::waitUntil([&] { return drained.load(); }));
}

TEST(ProxyServer, dumpsItsState)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    proxy.call(ProxyFixture::get("/"));
    const auto dump = nlohmann::json::parse(proxy.server->dumpJson());
    CHECK_EQUAL(7, dump["configVersion"].get<int>());
    const auto &entry = dump["services"]["rota"]["targets"][0];
    STRCMP_EQUAL(target.address().toString().c_str(), entry["address"].get<std::string>().c_str());
    // The slot is freed and the response is counted only after the caller has received the response.
    CHECK(ProxyFixture::waitUntil([&] {
        const auto now = nlohmann::json::parse(proxy.server->dumpJson());
        return now["services"]["rota"]["targets"][0]["outstanding"].get<int>() == 0;
    }));
    CHECK(ProxyFixture::waitUntil([&] {
        return proxy.metrics.render().find("hornbeam_proxy_requests_total{route=\"read\",class=\"2xx\"} 1")
            != std::string::npos;
    }));
}
