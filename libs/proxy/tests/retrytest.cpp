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

/** Takes requests and never answers. */
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

// Guards against errors that callers see because a target's host is gone but still announced.
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

TEST(Retry, triesAnotherTargetWhenOneSheds)
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
    // The request was sent to a target, so the proxy must not vouch for it.
    STRCMP_EQUAL("", response.header("x-hornbeam-outcome").c_str());
}

// Guards against waiting for a connection that has become silent until the caller gives up.
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

TEST(Retry, repeatsTheBody)
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

// Guards against retry storms: with all targets failing, the attempts must stay near the number of requests.
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
    // Ten percent, and the credit that is there at the start.
    CHECK(attempts > requests);
    CHECK(attempts <= requests + 10 + 10);
}

// Guards against a caller that gets an error because a target closed an idle connection just then.
TEST(Retry, survivesClosedIdleConnections)
{
    TestTarget target([](const TestMessage & /*request*/, TestSocket &connection) {
        connection.send(TestTarget::response("200 OK", "ok"));
        return false;
    });
    proxy.addTarget(target);
    proxy.start();
    // Whether a connection closes between its check and the request is a race; many callers make it likely.
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

// Guards against one silent connection after the other: the older idle ones are closed together with the first.
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

// Guards against a deadline of a caller that is taken for a fault of the target.
TEST(Retry, endsAtTheDeadlineWithoutBlamingTheTarget)
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
