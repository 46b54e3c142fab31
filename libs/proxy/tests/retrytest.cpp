#include "proxyfixture.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** A port on which nothing listens. */
Endpoint closedEndpoint()
{
    const TestTarget target(TestTarget::answer(""));
    return target.address();
}

/** Reads requests and never responds. */
bool staySilent(const TestMessage & /*request*/, TestSocket &connection)
{
    connection.waitClosed();
    return false;
}

} // namespace

TEST_GROUP(Retry)
{
    ProxyFixture proxy;

    void addClosedTarget()
    {
        Target it;
        it.address = closedEndpoint();
        it.service = "rota";
        it.zone = "turku";
        it.slots = 10;
        proxy.targets.push_back(it);
    }
};

// Callers must not get errors because of a target that is still announced after its host has failed.
TEST(Retry, triesAnotherTargetWhenTheConnectionFails)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    addClosedTarget();
    proxy.start();
    for (int i = 0; i < 20; ++i) {
        CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/")).value().status());
    }
}

TEST(Retry, triesAnotherTargetWhenOneShedsLoad)
{
    TestTarget shedding([](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(TestTarget::response("503 Service Unavailable", "", "X-Hornbeam-Outcome: not-run\r\n"));
    });
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(shedding);
    proxy.addTarget(target);
    proxy.start();
    for (int i = 0; i < 10; ++i) {
        CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/")).value().status());
    }
    proxy.targets.clear();
    proxy.addTarget(shedding);
    proxy.publish();
    const auto response = proxy.call(ProxyFixture::get("/")).value();
    CHECK_EQUAL(503, response.status());
    // The request was sent to a target, so the proxy must not state itself that it did not run.
    STRCMP_EQUAL("", response.header("x-hornbeam-outcome").c_str());
}

// A connection can become silent without being closed. The proxy must not wait for it until the caller gives up.
TEST(Retry, triesAnotherTargetWhenOneIsSilent)
{
    TestTarget silent(staySilent);
    TestTarget target(TestTarget::answer("ok"));
    proxy.service.attemptTimeout = 100ms;
    proxy.addTarget(silent);
    proxy.addTarget(target);
    proxy.start();
    for (int i = 0; i < 6; ++i) {
        CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/")).value().status());
    }
}

TEST(Retry, sendsTheBodyAgain)
{
    TestTarget shedding([](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(TestTarget::response("503 Service Unavailable", ""));
    });
    TestTarget target([](const TestMessage &request, TestSocket &connection) {
        return connection.send(TestTarget::response("200 OK", request.body));
    });
    proxy.addTarget(shedding);
    proxy.addTarget(target);
    proxy.start();
    for (int i = 0; i < 8; ++i) {
        STRCMP_EQUAL("body", proxy.call(ProxyFixture::post("/", "body")).value().body.c_str());
    }
}

// When all targets fail, unlimited retries would multiply the load. The attempts must stay near the number of requests.
TEST(Retry, staysWithinItsBudget)
{
    const auto shed = [](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(TestTarget::response("503 Service Unavailable", ""));
    };
    TestTarget first(shed);
    TestTarget second(shed);
    TestTarget third(shed);
    proxy.addTarget(first);
    proxy.addTarget(second);
    proxy.addTarget(third);
    proxy.start();
    constexpr int requests = 100;
    for (int i = 0; i < requests; ++i) {
        CHECK_EQUAL(503, proxy.call(ProxyFixture::get("/")).value().status());
    }
    const int attempts = first.requests() + second.requests() + third.requests();
    // 10 % of the requests, and the initial credit of 10 retries.
    CHECK(attempts > requests);
    CHECK(attempts <= requests + 10 + 10);
}

// A target may close an idle connection while the proxy sends a request on it. The caller must not get an error.
TEST(Retry, survivesClosedIdleConnections)
{
    TestTarget target([](const TestMessage & /*request*/, TestSocket &connection) {
        connection.send(TestTarget::response("200 OK", "ok"));
        return false;
    });
    proxy.addTarget(target);
    proxy.start();
    // The target must close the connection between the proxy's check and the request; many callers make this likely.
    std::atomic<int> failures = 0;
    std::vector<std::jthread> callers;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&] {
            auto socket = proxy.connect();
            for (int n = 0; n < 200; ++n) {
                socket.send(ProxyFixture::get("/"));
                const auto response = socket.read();
                failures += response && response->status() == 200 ? 0 : 1;
            }
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK_EQUAL(0, failures.load());
    CHECK_EQUAL(0, proxy.crashes.crashed().size());
}

// The target's kernel may receive and acknowledge a request that the target never reads, because it closes the idle
// connection. The proxy must repeat the request and not report a crash.
TEST(Retry, repeatsARequestThatTheTargetLeftUnread)
{
    TestTarget target([](const TestMessage & /*request*/, TestSocket &connection) {
        connection.send(TestTarget::response("200 OK", "ok"));
        // Waits for the next request and closes the connection without reading it. The sleep is longer than the 40 ms
        // after which the kernel sends a delayed acknowledgement; the target cannot observe when that happens.
        const bool quiet = connection.staysOpenAndIdle(1000);
        std::this_thread::sleep_for(100ms);
        return quiet;
    });
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    for (int i = 0; i < 4; ++i) {
        socket.send(ProxyFixture::get("/"));
        const auto response = socket.read();
        CHECK(response && response->status() == 200);
    }
    CHECK_EQUAL(0, proxy.crashes.crashed().size());
}

// When a connection becomes silent, older idle connections to the same target are probably broken too. Without closing
// them, each would cost one request its attempt timeout.
TEST(Retry, closesOlderIdleConnectionsAfterASilentOne)
{
    std::atomic<bool> silent = false;
    std::atomic<int> waiting = 0;
    TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        if (request.startLine.find("/hold") != std::string::npos) {
            ++waiting;
            ProxyFixture::waitUntil([&] { return waiting >= 4; });
        } else if (silent) {
            return staySilent(request, connection);
        }
        return connection.send(TestTarget::response("200 OK", "ok"));
    });
    proxy.service.attemptTimeout = 200ms;
    proxy.addTarget(target);
    proxy.start();
    std::vector<std::jthread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] { proxy.call(ProxyFixture::get("/hold")); });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK_EQUAL(4, target.connections());
    silent = true;
    CHECK_EQUAL(504, proxy.call(ProxyFixture::get("/")).value().status());
    silent = false;
    CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/")).value().status());
    CHECK_EQUAL(5, target.connections());
}

// The expiry of a caller's deadline says nothing about the target and must not count as its failure.
TEST(Retry, endsAtTheDeadlineWithoutCountingAFailure)
{
    TestTarget target(staySilent);
    proxy.addTarget(target);
    proxy.start();
    const auto started = std::chrono::steady_clock::now();
    const auto response = proxy.call(ProxyFixture::get("/", "X-Hornbeam-Deadline-Ms: 100\r\n")).value();
    CHECK_EQUAL(504, response.status());
    STRCMP_EQUAL("unknown", response.header("x-hornbeam-outcome").c_str());
    CHECK(std::chrono::steady_clock::now() - started < 1s);
    CHECK(proxy.server->dumpJson().find("\"consecutiveFailures\":0") != std::string::npos);
}
