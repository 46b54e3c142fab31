#include "relayfixture.h"
#include "relayheader.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

std::string responseWithoutLength(const TestMessage &request, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nSigned-By: t\r\nCall-Id: " + request.header("call-id") + "\r\n\r\n" + body;
}

/** CppUTest needs a default constructible base class of a test group. */
class RelayTest : public Utest, protected RelayFixture
{
};

} // namespace

TEST_GROUP_BASE(Relay, RelayTest){};

// Guards against a slot that stays taken while a large response waits for a slow link: 1 MB takes 1.9 s.
TEST(Relay, freesTheSlotWhileALargeResponseIsSent)
{
    const TestTarget target([](const TestMessage &request, TestSocket &connection) {
        const bool isExport = request.startLine.find("/export") != std::string::npos;
        return connection.send(signedResponse(request, isExport ? std::string(1000000, 'x') : "ok"));
    });
    targetOptions.linkMegabits = 5;
    addTarget(target, "first", 1);
    start();
    std::atomic<bool> received = false;
    std::size_t size = 0;
    std::jthread caller([&] {
        size = call("GET", "/export").body.size();
        received = true;
    });
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    CHECK_EQUAL(200, call("GET", "/").status());
    CHECK(!received);
    caller.join();
    CHECK_EQUAL(1000000, size);
}

// Guards against admitting large responses by a mean size while larger ones, whose size is known, occupy the link.
TEST(Relay, refusesALargeResponseBehindLargerOnes)
{
    // At 5 Mbit/s, the first two take 2.1 s.
    const TestTarget target(answerSigned(std::string(600000, 'x')));
    targetOptions.linkMegabits = 5;
    addTarget(target, "first");
    start();
    const auto send = [this](const std::string &id, const std::string &method, const std::string &left) {
        auto socket = TestSocket::connectTo(front->server->localEndpoint());
        socket.send(method + " /export HTTP/1.1\r\nHost: rota.example\r\nCall-Id: " + id + "\r\nLeft-Ms: " + left
                    + "\r\n\r\n");
        return socket;
    };
    auto first = send("a", "GET", "1400");
    auto second = send("b", "GET", "1400");
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 2; }));
    CHECK(!first.staysOpenAndIdle(200)); // The node has the head of the response.
    auto refused = send("c", "GET", "1500");
    const auto response = refused.read();
    CHECK(response.has_value());
    CHECK_EQUAL(503, response->status());
    CHECK_EQUAL(2, target.requests());
}

// Guards against refusing all large responses because the link of the target's host was busy at the last load report.
TEST(Relay, requestsLargeResponsesAgainWhenTheLinkIsFree)
{
    // At 5 Mbit/s, 600,000 bytes take 1.1 s.
    const TestTarget target([](const TestMessage &request, TestSocket &connection) {
        const bool isFirst = request.startLine.find("/export/first") != std::string::npos;
        return connection.send(signedResponse(request, isFirst ? std::string(600000, 'x') : "ok"));
    });
    targetOptions.linkMegabits = 5;
    addTarget(target, "first");
    start();
    CHECK_EQUAL(600000, call("GET", "/export/first").body.size());
    CHECK(ProxyFixture::waitUntil([&] { return call("GET", "/export/next", "Left-Ms: 500\r\n").status() == 200; }));
}

// Guards against learning the size of large responses from responses to HEAD, of which no body follows.
TEST(Relay, learnsNoSizeFromHead)
{
    const TestTarget target([](const TestMessage &request, TestSocket &connection) {
        const bool isHead = request.startLine.rfind("HEAD", 0) == 0;
        return connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::string(isHead ? "9000000" : "2")
                               + "\r\nSigned-By: t\r\nCall-Id: " + request.header("call-id") + "\r\n\r\n"
                               + (isHead ? "" : "ok"));
    });
    targetOptions.linkMegabits = 5;
    addTarget(target, "first");
    start();
    auto socket = TestSocket::connectTo(front->server->localEndpoint());
    socket.send("HEAD /export HTTP/1.1\r\nHost: rota.example\r\nCall-Id: h\r\n\r\n");
    const auto head = socket.read(false);
    CHECK_EQUAL(200, head.value().status());
    const auto response = call("GET", "/export", "Left-Ms: 1000\r\n");
    CHECK_EQUAL(200, response.status());
}

// Guards against headers for the target that are lost on the way or forged by the caller.
TEST(Relay, relaysARequestToATargetOnAnotherHost)
{
    TestMessage seen;
    TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        seen = request;
        return connection.send(signedResponse(request, "ok"));
    });
    addTarget(target, "i-1");
    start();
    const auto response = call("POST", "/book/1?x=2", "Left-Ms: 900\r\nFrom-Service: forged\r\n");
    CHECK_EQUAL(200, response.status());
    STRCMP_EQUAL("ok", response.body.c_str());
    STRCMP_EQUAL("t", response.header("signed-by").c_str());
    STRCMP_EQUAL("", response.header("x-hornbeam-load").c_str());
    STRCMP_EQUAL("POST /book/1?x=2 HTTP/1.1", seen.startLine.c_str());
    STRCMP_EQUAL("hi", seen.body.c_str());
    STRCMP_EQUAL("i-1", seen.header("for-target").c_str());
    STRCMP_EQUAL("desk", seen.header("from-service").c_str());
    STRCMP_EQUAL("c1", seen.header("call-id").c_str());
    STRCMP_EQUAL("", seen.header("x-hornbeam-relay").c_str());
    const auto left = std::stoi(seen.header("left-ms"));
    CHECK(left > 500 && left <= 900);
}

// Guards against callers that extend the timeout of a route by sending a longer deadline.
TEST(Relay, limitsTheDeadlineToTheTimeoutOfTheRoute)
{
    timeout = 300ms;
    TestTarget target([](const TestMessage & /*request*/, TestSocket &connection) {
        connection.waitClosed();
        return false;
    });
    addTarget(target, "i-1");
    start();
    const auto started = std::chrono::steady_clock::now();
    CHECK_EQUAL(504, call("GET", "/", "Left-Ms: 5000\r\n").status());
    CHECK(std::chrono::steady_clock::now() - started < 2s);
}

// Guards against a failure of a request that its target refused without running it: another target can run it.
TEST(Relay, sendsARequestThatDidNotRunToAnotherTarget)
{
    TestTarget full([](const TestMessage &request, TestSocket &connection) {
        return connection.send(TestTarget::response(
            "503 Service Unavailable", "", "Not-Run: 1\r\nCall-Id: " + request.header("call-id") + "\r\n"));
    });
    TestTarget other(answerSigned("ok"));
    addTarget(full, "i-1");
    addTarget(other, "i-2");
    start();
    for (int i = 0; i < 3; ++i) {
        CHECK_EQUAL(200, call("POST", "/book").status());
    }
}

// Guards against a second execution of a non-idempotent request whose connection broke after it was sent.
TEST(Relay, neverRepeatsARequestThatMayHaveRun)
{
    TestTarget breaking([](const TestMessage & /*request*/, TestSocket & /*connection*/) { return false; });
    TestTarget other([](const TestMessage & /*request*/, TestSocket & /*connection*/) { return false; });
    addTarget(breaking, "i-1");
    addTarget(other, "i-2");
    start();
    CHECK_EQUAL(502, call("POST", "/book").status());
    CHECK_EQUAL(1, breaking.requests() + other.requests());
}

// Guards against a missing retry of an idempotent request, and against more attempts than its route allows.
TEST(Relay, repeatsAnIdempotentRequestWithinItsAttempts)
{
    TestTarget breaking([](const TestMessage & /*request*/, TestSocket & /*connection*/) { return false; });
    TestTarget other([](const TestMessage & /*request*/, TestSocket & /*connection*/) { return false; });
    TestTarget third([](const TestMessage & /*request*/, TestSocket & /*connection*/) { return false; });
    addTarget(breaking, "i-1");
    addTarget(other, "i-2");
    addTarget(third, "i-3");
    start();
    CHECK_EQUAL(502, call("GET", "/").status());
    CHECK_EQUAL(2, breaking.requests() + other.requests() + third.requests());
}

// Guards against forwarding a successful response that no target signed, or that is truncated, encoded or malformed.
TEST(Relay, replacesResponsesThatAreNotAuthentic)
{
    for (const char *bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                              "HTTP/1.1 200 OK\r\nSigned-By: t\r\nCall-Id: c1\r\nContent-Length: 9\r\n\r\nok",
                              "HTTP/1.1 200 OK\r\nSigned-By: t\r\nCall-Id: c1\r\nContent-Encoding: gzip\r\n"
                              "Content-Length: 2\r\n\r\nok",
                              "no protocol\r\n\r\n"}) {
        front.reset();
        nodes.clear();
        targets.clear();
        nextId = 0;
        TestTarget corrupting([bytes](const TestMessage & /*request*/, TestSocket &connection) {
            connection.send(bytes);
            return false;
        });
        addTarget(corrupting, "i-1");
        start();
        const auto response = call("GET", "/");
        CHECK_EQUAL(502, response.status());
        CHECK(response.complete);
    }
}

// Guards against taking the response to an earlier request for the response to the current one.
TEST(Relay, skipsAResponseToAnotherRequest)
{
    TestTarget target([](const TestMessage &request, TestSocket &connection) {
        auto stray = request;
        stray.headers["call-id"] = "another";
        connection.send(signedResponse(stray, "wrong"));
        return connection.send(signedResponse(request, "right"));
    });
    addTarget(target, "i-1");
    start();
    const auto response = call("GET", "/");
    CHECK_EQUAL(200, response.status());
    STRCMP_EQUAL("right", response.body.c_str());
}

// Guards against "not run" for a request that a target has run, when the target writes an earlier refusal once more on
// a kept connection, with or without the id of the request that it refused.
TEST(Relay, doesNotBelieveARefusalOfAnotherRequest)
{
    for (const char *refusal : {"503 Busy\r\nNot-Run: 1\r\nCall-Id: c1\r\n",
                                "503 Busy\r\nNot-Run: 1\r\n",
                                "421 Misdirected\r\n",
                                "429 Too Many\r\nNot-Run: 1\r\n",
                                "400 Bad\r\nNot-Run: 1\r\n"}) {
        front.reset();
        nodes.clear();
        targets.clear();
        nextId = 0;
        const auto text = "HTTP/1.1 " + std::string(refusal) + "Content-Length: 0\r\n\r\n";
        std::atomic<int> ran = 0;
        const auto handler = [&](const TestMessage &request, TestSocket &connection) {
            if (request.startLine.find("/book") == std::string::npos) {
                return connection.send(signedResponse(request, "ok"));
            }
            ++ran;
            return connection.send(text + signedResponse(request, "ok"));
        };
        TestTarget first(handler);
        TestTarget second(handler);
        addTarget(first, "i-1");
        addTarget(second, "i-2");
        start();
        CHECK_EQUAL(200, call("GET", "/").status());
        const auto status = call("POST", "/book").status();
        CHECK_TEXT(status == 200 || status == 502, refusal);
        CHECK_EQUAL_TEXT(1, ran, refusal);
    }
}

// Guards against a status that promises "not run" although the target does not say so: it may have run the request.
TEST(Relay, passesOnNoPromiseThatTheTargetDidNotMake)
{
    for (const char *status : {"408 Timeout", "429 Too Many", "503 Busy"}) {
        front.reset();
        nodes.clear();
        targets.clear();
        TestTarget target([status](const TestMessage &request, TestSocket &connection) {
            const auto id = "Call-Id: " + request.header("call-id") + "\r\n";
            return connection.send(TestTarget::response(status, "", id + "Signed-By: t\r\n"));
        });
        addTarget(target, "i-1");
        start();
        const auto response = call("POST", "/book");
        CHECK_EQUAL_TEXT(502, response.status(), status);
        STRCMP_EQUAL("", response.header("signed-by").c_str());
        CHECK_EQUAL(1, target.requests());
    }
}

// Guards against a complete response to a caller when the target closes or resets the connection within the head of its
// response, wherever that is, on a new or kept connection.
TEST(Relay, neverCompletesAResponseThatEndsInItsHead)
{
    std::size_t length = 0;
    bool reset = false;
    bool kept = false;
    TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        if (request.startLine.find("/warm") != std::string::npos) {
            return connection.send(signedResponse(request, "ok"));
        }
        const auto whole = signedResponse(request, "body");
        connection.send(whole.substr(0, length));
        if (reset) {
            connection.reset();
        }
        return false;
    });
    addTarget(target, "i-1");
    start();
    const auto headBytes = signedResponse({.headers = {{"call-id", "c100"}}}, "body").find("\r\n\r\n") + 4;
    for (int variant = 0; variant < 4; ++variant) {
        reset = variant % 2 == 1;
        kept = variant / 2 == 1;
        for (length = 0; length < headBytes; ++length) {
            if (kept) {
                call("GET", "/warm");
            }
            nextId = 99;
            const auto response = call(length % 2 == 0 ? "GET" : "POST", length % 2 == 0 ? "/" : "/book");
            CHECK_TEXT(response.status() != 200 && response.status() != 503, std::to_string(length).c_str());
        }
    }
}

// Guards against refusing a close-delimited response although its connection was closed without an error.
TEST(Relay, acceptsACloseDelimitedResponse)
{
    TestTarget target([](const TestMessage &request, TestSocket &connection) {
        connection.send(responseWithoutLength(request, "whole"));
        return false;
    });
    addTarget(target, "i-1");
    start();
    const auto response = call("GET", "/");
    CHECK_EQUAL(200, response.status());
    STRCMP_EQUAL("whole", response.body.c_str());
}

// Guards against taking a close-delimited response for complete although its connection was reset.
TEST(Relay, refusesACloseDelimitedResponseThatWasReset)
{
    TestTarget target([](const TestMessage &request, TestSocket &connection) {
        connection.send(responseWithoutLength(request, "hal"));
        std::this_thread::sleep_for(50ms);
        connection.reset();
        return false;
    });
    addTarget(target, "i-1");
    start();
    CHECK_EQUAL(502, call("GET", "/").status());
}

// Guards against new requests for a target that is leaving, when only its own node knows so far.
TEST(Relay, refusesRequestsForALeavingTarget)
{
    TestTarget target(answerSigned("ok"));
    addTarget(target, "i-1");
    start();
    CHECK_EQUAL(200, call("GET", "/").status());
    publish(*nodes[0]->server, {});
    const auto response = call("GET", "/");
    CHECK_EQUAL(503, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    CHECK_EQUAL(1, target.requests());
}

// Guards against more concurrent requests at a target than it has slots when several nodes send to it.
TEST(Relay, admitsRequestsAtTheNodeOfTheTarget)
{
    std::atomic<int> running = 0;
    std::atomic<int> peak = 0;
    TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        peak = std::max(peak.load(), ++running);
        std::this_thread::sleep_for(20ms);
        --running;
        return connection.send(signedResponse(request, "ok"));
    });
    addTarget(target, "i-1", 2);
    start();
    std::atomic<int> served = 0;
    {
        std::vector<std::jthread> callers;
        for (int i = 0; i < 6; ++i) {
            callers.emplace_back([&, i] {
                auto socket = TestSocket::connectTo(front->server->localEndpoint());
                socket.send("GET / HTTP/1.1\r\nHost: rota.example\r\nCall-Id: p" + std::to_string(i) + "\r\n\r\n");
                const auto response = socket.read();
                served += response && response->status() == 200 ? 1 : 0;
            });
        }
    }
    CHECK(served >= 2);
    CHECK(peak <= 2);
}

// Guards against losing the load that a target states on its way to the nodes of the callers.
TEST(Relay, reportsHowSlowTheHostOfATargetIs)
{
    TestTarget target([](const TestMessage &request, TestSocket &connection) {
        const auto id = "Signed-By: t\r\nCall-Id: " + request.header("call-id") + "\r\n";
        return connection.send(TestTarget::response("200 OK", "ok", id + "Load: 1,0,10,300\r\n"));
    });
    addTarget(target, "i-1");
    start();
    auto socket = TestSocket::connectTo(nodes[0]->server->relayEndpoint());
    socket.send("GET / HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c1\r\nX-Hornbeam-Relay: "
                "i-1;rota;rota;1000;100;1;1;0;0\r\n\r\n");
    const auto report = LoadReport::parse(socket.read().value().header("x-hornbeam-load"));
    CHECK(report.has_value());
    CHECK(report->timePercent > 250);
}

// Guards against serving processes that connect to the relay listener but are not nodes.
TEST(Relay, refusesARequestWithoutARelayHeader)
{
    TestTarget target(answerSigned("ok"));
    addTarget(target, "i-1");
    start();
    auto socket = TestSocket::connectTo(nodes[0]->server->relayEndpoint());
    socket.send("GET / HTTP/1.1\r\nHost: rota.example\r\n\r\n");
    CHECK_EQUAL(400, socket.read().value().status());
    CHECK_EQUAL(0, target.requests());
}

// Guards against further requests for a target whose process has ended: its node must report it and refuse them.
TEST(Relay, reportsATargetThatHasEnded)
{
    auto target = std::make_unique<TestTarget>(answerSigned("ok"));
    addTarget(*target, "i-1");
    start();
    target.reset();
    const auto response = call("POST", "/book");
    CHECK_EQUAL(503, response.status());
    STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
    CHECK(ProxyFixture::waitUntil([&] { return nodes[0]->crashes.unreachable() > 0; }));
}

// Guards against a retry budget without the retries after a reset, where the target may have run the request.
TEST(Relay, countsARetryAfterAReset)
{
    std::atomic<int> served = 0;
    TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        // Resets the connection at every second request.
        if (++served % 2 == 1) {
            return connection.send(signedResponse(request, "ok"));
        }
        connection.reset();
        return false;
    });
    addTarget(target, "i-1");
    start();
    constexpr int calls = 60;
    for (int i = 0; i < calls; ++i) {
        call("GET", "/");
    }
    // The budget allows retries up to its reserve plus a fifth of the requests.
    CHECK_COMPARE(target.requests(), <=, calls + 20 + calls / 5);
    CHECK_COMPARE(target.requests(), >, calls);
}

// Guards against one request after another that fails at a node that cannot be reached.
TEST(Relay, avoidsATargetWhoseNodeCannotBeReached)
{
    TestTarget target(answerSigned("ok"));
    TestTarget other(answerSigned("ok"));
    addTarget(target, "i-1");
    addTarget(other, "i-2");
    targets[0].zone = "turku";
    targets[1].zone = "helsinki";
    start();
    nodes[0]->server.reset();
    for (int i = 0; i < 20; ++i) {
        CHECK_EQUAL(200, call("POST", "/book").status());
    }
    CHECK(front->metrics.render().find("hornbeam_proxy_ejections_total 1") != std::string::npos);
}
