#include "proxyfixture.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(Crash)
{
    ProxyFixture proxy;

    /** Closes the connection on "/crash", as the kernel does when a process crashes; answers other requests. */
    static bool crashOnRequest(const TestMessage &request, TestSocket &connection)
    {
        if (request.startLine.find("/crash") != std::string::npos) {
            return false;
        }
        return connection.send(TestTarget::response("200 OK", "ok"));
    }
};

// If the proxy retried a request that crashes its target, it would crash one target after the other.
TEST(Crash, reportsACrashAndDoesNotRetry)
{
    TestTarget first(crashOnRequest);
    TestTarget second(crashOnRequest);
    proxy.addTarget(first);
    proxy.addTarget(second);
    proxy.start();
    // Leaves a pooled connection, because a crash must also be detected on a reused connection.
    proxy.call(ProxyFixture::get("/"));
    for (int i = 1; i <= 3; ++i) {
        const int before = first.requests() + second.requests();
        const auto response = proxy.call(ProxyFixture::get("/crash?" + std::to_string(i))).value();
        CHECK_EQUAL(502, response.status());
        STRCMP_EQUAL("unknown", response.header("x-hornbeam-outcome").c_str());
        CHECK_EQUAL(before + 1, first.requests() + second.requests());
        CHECK_EQUAL(i, proxy.crashes.crashed().size());
    }
    CHECK(proxy.crashes.crashed()[0] != proxy.crashes.crashed()[1]);
}

// A request must not crash a third target in the time between the second crash and the publication of the quarantine.
TEST(Crash, refusesAtOnceAfterCrashesOfTwoTargets)
{
    TestTarget first(crashOnRequest);
    TestTarget second(crashOnRequest);
    TestTarget third(crashOnRequest);
    for (const auto *target : {&first, &second, &third}) {
        proxy.addTarget(*target);
    }
    proxy.start();
    CHECK(ProxyFixture::waitUntil([&] { return proxy.call(ProxyFixture::get("/crash")).value().status() == 422; }));
    int crashed = 0;
    for (const auto *target : {&first, &second, &third}) {
        crashed += target->requests() > 0 ? 1 : 0;
    }
    CHECK_EQUAL(2, crashed);
}

TEST(Crash, refusesQuarantinedRequests)
{
    TestTarget target(crashOnRequest);
    proxy.addTarget(target);
    proxy.start();
    proxy.call(ProxyFixture::post("/crash", "body"));
    proxy.quarantined = proxy.crashes.crashed();
    proxy.publish();
    const int before = target.requests();
    const auto response = proxy.call(ProxyFixture::post("/crash", "body")).value();
    CHECK_EQUAL(422, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    CHECK_EQUAL(before, target.requests());
    CHECK_EQUAL(502, proxy.call(ProxyFixture::post("/crash", "other")).value().status());
}

// A request that was in flight during a crash that it did not cause stays a suspect unless its success is reported.
TEST(Crash, reportsTheSuccessOfASuspect)
{
    std::atomic<bool> crash = true;
    TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        return !crash && connection.send(TestTarget::response("200 OK", "ok"));
    });
    proxy.addTarget(target);
    proxy.start();
    CHECK_EQUAL(502, proxy.call(ProxyFixture::get("/")).value().status());
    crash = false;
    CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/")).value().status());
    CHECK(ProxyFixture::waitUntil([&] { return proxy.crashes.succeeded().size() == 1; }));
    CHECK(proxy.crashes.succeeded() == proxy.crashes.crashed());
}

// A request that was in flight during a crash at another node stays a suspect there, and is quarantined after a second
// crash, unless its success on this node is reported. The report is sent once.
TEST(Crash, reportsTheSuccessOfASuspectOfAnotherNode)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.suspects = {{.request = Digest::of("GET\n/page\n"), .targets = {Endpoint("10.0.0.1", 80)}}};
    proxy.start();
    CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/other")).value().status());
    CHECK(proxy.crashes.succeeded().empty());
    CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/page")).value().status());
    CHECK(ProxyFixture::waitUntil([&] { return proxy.crashes.succeeded().size() == 1; }));
    CHECK(proxy.crashes.succeeded().front() == proxy.suspects.front().request);
    CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/page")).value().status());
    CHECK_EQUAL(1, proxy.crashes.succeeded().size());
}

// A client that comes back to its own host must not crash the target there each time, and a target that crashes by
// itself must not get a request quarantined that succeeds elsewhere.
TEST(Crash, sendsASuspectToAnotherTarget)
{
    TestTarget crashed(TestTarget::answer("ok"));
    TestTarget other(TestTarget::answer("ok"));
    proxy.addTarget(crashed);
    proxy.addTarget(other);
    proxy.suspects = {{.request = Digest::of("GET\n/page\n"), .targets = {crashed.address()}}};
    proxy.start();
    for (int i = 1; i <= 10; ++i) {
        CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/page")).value().status());
        CHECK_EQUAL(i, other.requests());
        // The proxy forgets the suspect when it reports the success, which may be after the response has arrived here.
        CHECK(ProxyFixture::waitUntil([&] { return proxy.crashes.succeeded().size() == static_cast<std::size_t>(i); }));
        proxy.publish();
    }
    CHECK_EQUAL(0, crashed.requests());
}

// A suspect may be harmless, so it must be served if the crashed target is the only one.
TEST(Crash, sendsASuspectToTheOnlyTarget)
{
    TestTarget crashed(TestTarget::answer("ok"));
    proxy.addTarget(crashed);
    proxy.suspects = {{.request = Digest::of("GET\n/page\n"), .targets = {crashed.address()}}};
    proxy.start();
    CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/page")).value().status());
}

// A suspect must not reach a second target either when the proxy would retry it for another reason.
TEST(Crash, doesNotRetryASuspect)
{
    std::atomic<bool> crash = true;
    const auto handler = [&](const TestMessage & /*request*/, TestSocket &connection) {
        return !crash && connection.send(TestTarget::response("503 Service Unavailable", ""));
    };
    TestTarget first(handler);
    TestTarget second(handler);
    proxy.addTarget(first);
    proxy.addTarget(second);
    proxy.start();
    proxy.call(ProxyFixture::get("/"));
    crash = false;
    const int before = first.requests() + second.requests();
    CHECK_EQUAL(503, proxy.call(ProxyFixture::get("/")).value().status());
    CHECK_EQUAL(before + 1, first.requests() + second.requests());
}

TEST(Crash, ejectsATargetThatKeepsFailing)
{
    TestTarget bad([](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(TestTarget::response("500 Internal Server Error", ""));
    });
    TestTarget good(TestTarget::answer("ok"));
    proxy.addTarget(bad);
    proxy.addTarget(good);
    proxy.start();
    int failures = 0;
    for (int i = 0; i < 60; ++i) {
        failures += proxy.call(ProxyFixture::get("/")).value().status() == 500 ? 1 : 0;
    }
    CHECK_EQUAL(5, failures);
    CHECK(proxy.server->dumpJson().find("\"ejected\":true") != std::string::npos);
}
