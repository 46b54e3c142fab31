#include "proxyfixture.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(Overload)
{
    ProxyFixture proxy;
    std::atomic<bool> release = false;
    std::atomic<int> running = 0;
    std::atomic<int> peak = 0;
    std::vector<std::string> order;
    std::mutex mutex;

    void teardown() override
    {
        release = true;
    }

    /** Does not respond until the test sets release. */
    TestTarget::Handler holding()
    {
        return [this](const TestMessage &request, TestSocket &connection) {
            {
                const std::lock_guard lock(mutex);
                peak = std::max(peak.load(), ++running);
                order.push_back(request.startLine);
            }
            ProxyFixture::waitUntil([this] { return release.load(); });
            --running;
            return connection.send(TestTarget::response("200 OK", "ok"));
        };
    }
};

// A target must not get more concurrent requests than it has slots. The others must be queued and then served.
TEST(Overload, queuesAboveTheSlots)
{
    TestTarget target(holding());
    proxy.addTarget(target, 2);
    proxy.start();
    std::vector<std::jthread> callers;
    std::atomic<int> answered = 0;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&] {
            const auto response = proxy.call(ProxyFixture::get("/"));
            answered += response && response->status() == 200 ? 1 : 0;
        });
    }
    CHECK(ProxyFixture::waitUntil([&] { return proxy.server->dumpJson().find("\"queued\":4") != std::string::npos; }));
    CHECK(ProxyFixture::waitUntil([&] { return running == 2; }));
    release = true;
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK_EQUAL(6, answered.load());
    CHECK_EQUAL(2, peak.load());
}

TEST(Overload, servesUrgentRequestsFirst)
{
    TestTarget target(holding());
    proxy.addTarget(target, 1);
    proxy.start();
    std::vector<std::jthread> callers;
    const std::vector<std::string> paths = {"/first", "/bulk", "/urgent"};
    for (std::size_t i = 0; i < paths.size(); ++i) {
        callers.emplace_back([&, i] { proxy.call(ProxyFixture::get(paths[i])); });
        CHECK(ProxyFixture::waitUntil([&] { return proxy.server->requestsInFlight() == i + 1; }));
    }
    CHECK(ProxyFixture::waitUntil([&] { return proxy.server->dumpJson().find("\"queued\":2") != std::string::npos; }));
    release = true;
    for (auto &caller : callers) {
        caller.join();
    }
    STRCMP_EQUAL("GET /urgent HTTP/1.1", order.at(1).c_str());
}

// When the queue is full, callers must not wait for a slot that they cannot get. They are refused immediately, with
// the outcome not-run and a Retry-After.
TEST(Overload, refusesEarlyWhenTheQueueIsFull)
{
    TestTarget target(holding());
    proxy.options.maxQueuedRequests = 0;
    proxy.addTarget(target, 1);
    proxy.start();
    std::jthread caller([&] { proxy.call(ProxyFixture::get("/")); });
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    const auto response = proxy.call(ProxyFixture::get("/")).value();
    CHECK_EQUAL(503, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    CHECK(std::stoi(response.header("retry-after")) >= 1);
    release = true;
    caller.join();
    CHECK_EQUAL(1, target.requests());
}

// A queued request whose caller has disconnected must not be sent to a target.
TEST(Overload, dropsQueuedRequestsOfDisconnectedCallers)
{
    TestTarget target(holding());
    proxy.addTarget(target, 1);
    proxy.start();
    std::jthread caller([&] { proxy.call(ProxyFixture::get("/")); });
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/"));
    CHECK(ProxyFixture::waitUntil([&] { return proxy.server->requestsInFlight() == 2; }));
    socket.close();
    CHECK(ProxyFixture::waitUntil([&] { return proxy.server->requestsInFlight() == 1; }));
    release = true;
    caller.join();
    CHECK_EQUAL(1, target.requests());
}

// Without targets, a queued request could only wait until its deadline.
TEST(Overload, refusesRequestsWithoutTargets)
{
    proxy.start();
    const auto response = proxy.call(ProxyFixture::get("/")).value();
    CHECK_EQUAL(503, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
}

// Destroying the server with running and queued requests must not crash. Their connections are closed.
TEST(Overload, canBeDestroyedWithRequests)
{
    TestTarget target(holding());
    proxy.options.threads = 2;
    proxy.addTarget(target, 1);
    proxy.start();
    std::vector<TestSocket> callers;
    for (int i = 0; i < 8; ++i) {
        callers.push_back(proxy.connect());
        callers.back().send(ProxyFixture::get("/"));
    }
    CHECK(ProxyFixture::waitUntil([&] { return proxy.server->requestsInFlight() == callers.size(); }));
    proxy.server.reset();
    release = true;
    for (auto &caller : callers) {
        CHECK(caller.waitClosed());
    }
}

// Guards against a split whose share moves to another service while its own targets have no room: the operator's
// weights hold for what is served and refused together.
TEST(Overload, refusesTheShareOfASplitWithoutRoom)
{
    constexpr int requests = 20;
    TestTarget full(holding());
    TestTarget idle(TestTarget::answer("idle"));
    proxy.options.maxQueuedRequests = 0;
    proxy.addTarget(full, 1);
    proxy.addTarget(idle);
    proxy.targets.back().service = "spare";
    proxy.start();
    auto spare = proxy.service;
    spare.name = "spare";
    Route route;
    route.name = "read";
    route.service = "rota";
    route.timeout = proxy.timeout;
    route.splits = {{.service = "rota", .weight = 50}, {.service = "spare", .weight = 50}};
    auto state = std::make_shared<RoutingState>();
    state->snapshot = Snapshot::make(8, {.services = {proxy.service, spare}, .routes = {route}}).value();
    state->targets = proxy.targets;
    state->ready = true;
    proxy.server->publish(state);
    auto held = proxy.connect();
    while (full.requests() == 0) {
        held.send(ProxyFixture::get("/"));
        CHECK(ProxyFixture::waitUntil([&] { return full.requests() == 1 || !held.staysOpenAndIdle(1); }));
        if (full.requests() == 0) {
            CHECK_EQUAL(200, held.read().value().status());
        }
    }
    int served = 0;
    int refused = 0;
    for (int i = 0; i < requests; ++i) {
        const auto response = proxy.call(ProxyFixture::get("/")).value();
        served += response.status() == 200 ? 1 : 0;
        refused += response.status() == 503 && response.header("x-hornbeam-outcome") == "not-run" ? 1 : 0;
    }
    CHECK_EQUAL(requests / 2, served);
    CHECK_EQUAL(requests / 2, refused);
    CHECK_EQUAL(1, full.requests());
    release = true;
    proxy.server.reset();
}
