#include "proxyfixture.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(ClaimedCall)
{
    ProxyFixture proxy;

    std::optional<TestMessage> book(const std::string &headers = {})
    {
        return proxy.call(ProxyFixture::post("/book", "slot 5", "Idempotency-Key: k1\r\n" + headers));
    }
};

TEST(ClaimedCall, recordsTheResponseUnderTheClaim)
{
    TestTarget target([](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(TestTarget::response("201 Created", "booked", "Content-Type: text/plain\r\n"));
    });
    proxy.addTarget(target);
    proxy.start();
    CHECK_EQUAL(201, book().value().status());
    CHECK(ProxyFixture::waitUntil([&] { return proxy.claims.completed().size() == 1; }));
    const auto recorded = proxy.claims.completed().front();
    CHECK_EQUAL(201, recorded.status);
    STRCMP_EQUAL("booked", recorded.body.c_str());
    CHECK_EQUAL(0, proxy.claims.released());
    CHECK_EQUAL(0, proxy.claims.unknown());
}

TEST(ClaimedCall, refusesARequestWithoutKey)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    const auto response = proxy.call(ProxyFixture::post("/book", "slot 5")).value();
    CHECK_EQUAL(400, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    CHECK_EQUAL(0, target.requests());
}

// A client that restarts and signs in again retries with other credentials. If these were part of the identity, the
// request would run a second time.
TEST(ClaimedCall, identifiesRequestsByTheirKeyAlone)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    book("Authorization: token1\r\n");
    book("Authorization: token2\r\n");
    proxy.call(ProxyFixture::post("/book", "slot 5", "Idempotency-Key: k2\r\n"));
    proxy.call(ProxyFixture::post("/book/other", "slot 5", "Idempotency-Key: k1\r\n"));
    const auto claimed = proxy.claims.claimed();
    CHECK_EQUAL(4, claimed.size());
    CHECK(claimed[0] == claimed[1]);
    CHECK(claimed[0] != claimed[2]);
    CHECK(claimed[0] != claimed[3]);
}

// Clients without idempotency keys send an identical request again as a retry. It must have the same identity, and
// requests that differ in body or caller must not.
TEST(ClaimedCall, identifiesRequestsByTheirContent)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    for (const auto *body : {"slot 5", "slot 5", "slot 6"}) {
        proxy.call(ProxyFixture::post("/draw", body));
    }
    proxy.call(ProxyFixture::post("/draw", "slot 5", "Authorization: clerk2\r\n"));
    const auto claimed = proxy.claims.claimed();
    CHECK_EQUAL(4, claimed.size());
    CHECK(claimed[0] == claimed[1]);
    CHECK(claimed[0] != claimed[2]);
    CHECK(claimed[0] != claimed[3]);
    CHECK_EQUAL(413, proxy.call(ProxyFixture::post("/draw", std::string(2 << 20, 'x'))).value().status());
}

// While another attempt is running, or if its outcome is unknown, sending the request could run it a second time.
TEST(ClaimedCall, sendsNothingWithoutAGrant)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    proxy.claims.decision.outcome = ClaimOutcome::InProgress;
    auto response = book().value();
    CHECK_EQUAL(409, response.status());
    STRCMP_EQUAL("in-progress", response.header("x-hornbeam-outcome").c_str());
    CHECK(!response.header("retry-after").empty());
    proxy.claims.decision.outcome = ClaimOutcome::Unknown;
    response = book().value();
    CHECK_EQUAL(504, response.status());
    STRCMP_EQUAL("unknown", response.header("x-hornbeam-outcome").c_str());
    proxy.claims.decision.outcome = ClaimOutcome::NotRun;
    response = book().value();
    CHECK_EQUAL(503, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    proxy.claims.decision.outcome = ClaimOutcome::Completed;
    proxy.claims.decision.response = {.status = 201, .headers = {{"Content-Type", "text/x"}}, .body = "booked"};
    response = book().value();
    CHECK_EQUAL(201, response.status());
    STRCMP_EQUAL("replayed", response.header("x-hornbeam-outcome").c_str());
    STRCMP_EQUAL("text/x", response.header("content-type").c_str());
    STRCMP_EQUAL("booked", response.body.c_str());
    CHECK_EQUAL(0, target.requests());
}

// The deadline can pass while the claim is being granted. The caller has given up by then, so the request must not be
// sent.
TEST(ClaimedCall, checksTheDeadlineAfterTheClaim)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    proxy.claims.beforeDecision = [] {
        std::this_thread::sleep_for(60ms);
    };
    const auto response = book("X-Hornbeam-Deadline-Ms: 50\r\n").value();
    CHECK_EQUAL(504, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    CHECK_EQUAL(0, target.requests());
    CHECK_EQUAL(1, proxy.claims.released());
}

// A target that does not respond may have run the request, so a retry on another target could run it a second time.
TEST(ClaimedCall, neverSendsTwice)
{
    const auto silent = [](const TestMessage & /*request*/, TestSocket &connection) {
        connection.waitClosed();
        return false;
    };
    TestTarget first(silent);
    TestTarget second(silent);
    proxy.service.attemptTimeout = 100ms;
    proxy.addTarget(first);
    proxy.addTarget(second);
    proxy.start();
    const auto response = book().value();
    CHECK_EQUAL(504, response.status());
    STRCMP_EQUAL("unknown", response.header("x-hornbeam-outcome").c_str());
    // The thread of the target may read the request only after the attempt has timed out.
    CHECK(ProxyFixture::waitUntil([&] { return first.requests() + second.requests() > 0; }));
    CHECK_EQUAL(1, first.requests() + second.requests());
    CHECK_EQUAL(1, proxy.claims.unknown());
    CHECK_EQUAL(0, proxy.claims.released());
}

// An idle connection may be broken without the proxy knowing. A request sent on it would have an unknown outcome.
TEST(ClaimedCall, usesANewConnection)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    proxy.call(ProxyFixture::get("/"));
    CHECK_EQUAL(1, target.connections());
    book();
    CHECK_EQUAL(2, target.connections());
}

TEST(ClaimedCall, releasesTheClaimWhenNoTargetCanBeReached)
{
    Endpoint closed;
    {
        const TestTarget target(TestTarget::answer(""));
        closed = target.address();
        proxy.addTarget(target);
    }
    proxy.start();
    const auto response = book().value();
    CHECK_EQUAL(503, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    CHECK_EQUAL(1, proxy.claims.released());
}

// The response must be recorded after its caller has disconnected, so that a retry of the caller receives it.
TEST(ClaimedCall, recordsTheResponseWithoutItsCaller)
{
    std::atomic<bool> release = false;
    TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        ProxyFixture::waitUntil([&] { return release.load(); });
        return connection.send(TestTarget::response("201 Created", "booked"));
    });
    proxy.addTarget(target);
    proxy.start();
    auto socket = proxy.connect();
    socket.send(ProxyFixture::post("/book", "slot 5", "Idempotency-Key: k1\r\n"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    socket.reset();
    release = true;
    CHECK(ProxyFixture::waitUntil([&] { return proxy.claims.completed().size() == 1; }));
    STRCMP_EQUAL("booked", proxy.claims.completed().front().body.c_str());
}

TEST(ClaimedCall, marksATruncatedResponseUnknown)
{
    TestTarget target([](const TestMessage & /*request*/, TestSocket &connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc");
        return false;
    });
    proxy.addTarget(target);
    proxy.start();
    const auto response = book();
    CHECK(!response || !response->complete);
    CHECK(ProxyFixture::waitUntil([&] { return proxy.claims.unknown() == 1; }));
    CHECK_EQUAL(0, proxy.claims.completed().size());
}

// If the claim were kept after the target refused the request without running it, retries would be refused until the
// claim expires, after 24 hours by default.
TEST(ClaimedCall, releasesTheClaimWhenTheTargetDidNotRunTheRequest)
{
    TestTarget target([](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(TestTarget::response("503 Service Unavailable", "", "X-Hornbeam-Outcome: not-run\r\n"));
    });
    proxy.addTarget(target);
    proxy.start();
    CHECK_EQUAL(503, book().value().status());
    CHECK(ProxyFixture::waitUntil([&] { return proxy.claims.released() == 1; }));
    CHECK_EQUAL(0, proxy.claims.completed().size());
}

// A claim that is granted after the call has ended must be released, or it would block every retry of the request.
TEST(ClaimedCall, releasesAClaimThatIsGrantedTooLate)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    proxy.claims.hold = true;
    const auto response = book("X-Hornbeam-Deadline-Ms: 50\r\n").value();
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    proxy.claims.decidePending();
    CHECK(ProxyFixture::waitUntil([&] { return proxy.claims.released() == 1; }));
    CHECK_EQUAL(0, target.requests());
}

// Guards against a request that is sent after a wait for its claim although the node stops before it can end: it may
// have run when it is cut off.
TEST(ClaimedCall, isNotSentAfterAClaimThatComesLateInAStop)
{
    TestTarget target([](const TestMessage & /*request*/, TestSocket &connection) {
        std::this_thread::sleep_for(300ms);
        return connection.send(TestTarget::response("200 OK", "ok"));
    });
    proxy.options.drainBound = 600ms;
    proxy.addTarget(target);
    proxy.start();
    CHECK_EQUAL(200, book().value().status());
    proxy.claims.hold = true;
    auto socket = proxy.connect();
    socket.send(ProxyFixture::post("/book", "slot 6", "Idempotency-Key: k2\r\n"));
    CHECK(ProxyFixture::waitUntil([&] { return proxy.claims.claimed().size() == 2; }));
    std::atomic<bool> drained = false;
    proxy.server->drain([&] { drained = true; });
    std::this_thread::sleep_for(100ms);
    proxy.claims.decidePending();
    const auto response = socket.read();
    CHECK(response.has_value());
    CHECK_EQUAL(503, response->status());
    STRCMP_EQUAL("not-run", response->header("x-hornbeam-outcome").c_str());
    CHECK_EQUAL(1, proxy.claims.released());
    CHECK_EQUAL(1, target.requests());
    CHECK(ProxyFixture::waitUntil([&] { return drained.load(); }));
}

// The coordinator may call back after the server was destroyed. The callback must not access the server.
TEST(ClaimedCall, ignoresADecisionAfterTheServerWasDestroyed)
{
    TestTarget target(TestTarget::answer("ok"));
    proxy.addTarget(target);
    proxy.start();
    proxy.claims.hold = true;
    auto socket = proxy.connect();
    socket.send(ProxyFixture::post("/book", "slot 5", "Idempotency-Key: k1\r\n"));
    CHECK(ProxyFixture::waitUntil([&] { return proxy.claims.claimed().size() == 1; }));
    proxy.server.reset();
    proxy.claims.decidePending();
    CHECK_EQUAL(0, target.requests());
}
