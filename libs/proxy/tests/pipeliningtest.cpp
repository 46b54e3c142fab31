#include "proxyfixture.h"

#include <condition_variable>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Counts the requests that run at a target at the same time and holds back those below /held. */
class Gate
{
public:
    /** A handler that answers with the start line of the request, after open() if its path begins with /held. */
    TestTarget::Handler handler()
    {
        return [this](const TestMessage &request, TestSocket &connection) {
            {
                std::unique_lock lock(m_mutex);
                m_seen.push_back(request.startLine);
                m_most = std::max(m_most, ++m_running);
                m_changed.notify_all();
                const bool held = request.startLine.find(" /held") != std::string::npos;
                m_changed.wait_for(lock, 5s, [&] { return !held || m_open; });
                --m_running;
            }
            return connection.send(TestTarget::response("200 OK", request.startLine));
        };
    }

    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        m_changed.notify_all();
    }

    /** Waits up to five seconds until @p n requests have arrived; returns whether they did. */
    bool waitForRequests(std::size_t n)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 5s, [&] { return m_seen.size() >= n; });
    }

    std::size_t requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_seen.size();
    }

    int mostAtOnce() const
    {
        const std::lock_guard lock(m_mutex);
        return m_most;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_seen;
    int m_running = 0;
    int m_most = 0;
    bool m_open = false;
};

std::string firstLineOf(const std::string &path)
{
    return "GET " + path + " HTTP/1.1";
}

} // namespace

TEST_GROUP(Pipelining)
{
    ProxyFixture proxy;
    Gate gate;
    std::unique_ptr<TestTarget> target;

    /** Starts a proxy with one target. */
    void start(TestTarget::Handler handler, std::uint32_t slots = 64)
    {
        target = std::make_unique<TestTarget>(std::move(handler));
        proxy.addTarget(*target, slots);
        proxy.start();
    }

    void teardown() override
    {
        gate.open();
        proxy.server.reset();
        target.reset();
    }
};

// Guards against a latency that includes the service times of the requests before it on the connection.
TEST(Pipelining, runsIdempotentRequestsSideBySideAndAnswersThemInOrder)
{
    start(gate.handler());
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/held") + ProxyFixture::get("/b") + ProxyFixture::get("/c"));
    CHECK(gate.waitForRequests(3));
    CHECK(socket.staysOpenAndIdle(50));
    gate.open();
    for (const auto *path : {"/held", "/b", "/c"}) {
        STRCMP_EQUAL(firstLineOf(path).c_str(), socket.read().value().body.c_str());
    }
    socket.send(ProxyFixture::get("/d"));
    STRCMP_EQUAL(firstLineOf("/d").c_str(), socket.read().value().body.c_str());
}

// Guards against a failure of one request that affects the responses behind it.
TEST(Pipelining, answersBehindAFailedRequest)
{
    start([this](const TestMessage &request, TestSocket &connection) {
        const bool fails = request.startLine.find("/broken") != std::string::npos;
        return !fails && gate.handler()(request, connection);
    });
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/broken") + ProxyFixture::get("/b"));
    CHECK(socket.read().value().status() >= 500);
    STRCMP_EQUAL(firstLineOf("/b").c_str(), socket.read().value().body.c_str());
}

// Guards against a refusal that overtakes the response before it.
TEST(Pipelining, sendsARefusalInItsTurn)
{
    proxy.options.maxQueuedRequests = 0;
    start(gate.handler(), 1);
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/held"));
    CHECK(gate.waitForRequests(1));
    socket.send(ProxyFixture::get("/b"));
    CHECK(socket.staysOpenAndIdle(50));
    gate.open();
    CHECK_EQUAL(200, socket.read().value().status());
    const auto refused = socket.read().value();
    CHECK_EQUAL(503, refused.status());
    STRCMP_EQUAL("not-run", refused.header("x-hornbeam-outcome").c_str());
    CHECK_EQUAL(1, gate.requests());
}

// Guards against a timeout that leaves a later response, which is ready, undelivered.
TEST(Pipelining, answersBehindARequestThatTimesOut)
{
    proxy.timeout = 200ms;
    start(gate.handler());
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/held") + ProxyFixture::get("/b"));
    CHECK_EQUAL(504, socket.read().value().status());
    STRCMP_EQUAL(firstLineOf("/b").c_str(), socket.read().value().body.c_str());
}

// The same for a response that is streamed: its target has answered in time, only its turn came late.
TEST(Pipelining, streamsALargeResponseBehindARequestThatTimesOut)
{
    constexpr std::size_t bytes = std::size_t{4} * 1024 * 1024;
    proxy.timeout = 200ms;
    start([this](const TestMessage &request, TestSocket &connection) {
        if (request.startLine.find("/large") != std::string::npos) {
            return connection.send(TestTarget::response("200 OK", std::string(bytes, 'x')));
        }
        return gate.handler()(request, connection);
    });
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/held") + ProxyFixture::get("/large"));
    CHECK_EQUAL(504, socket.read().value().status());
    const auto response = socket.read();
    CHECK(response.has_value());
    CHECK(response->complete);
    CHECK_EQUAL(bytes, response->body.size());
}

// Guards against a non-idempotent request that runs although an earlier response may close the connection, after which
// the caller sends it again.
TEST(Pipelining, runsNothingBesideANonIdempotentRequest)
{
    start(gate.handler());
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/held") + ProxyFixture::post("/draw", "x") + ProxyFixture::get("/c"));
    CHECK(gate.waitForRequests(1));
    CHECK(socket.staysOpenAndIdle(50));
    CHECK_EQUAL(1, gate.requests());
    gate.open();
    STRCMP_EQUAL(firstLineOf("/held").c_str(), socket.read().value().body.c_str());
    STRCMP_EQUAL("POST /draw HTTP/1.1", socket.read().value().body.c_str());
    STRCMP_EQUAL(firstLineOf("/c").c_str(), socket.read().value().body.c_str());
    CHECK_EQUAL(1, gate.mostAtOnce());
}

// Guards against a body in the chain that is parsed as a request.
TEST(Pipelining, readsABodyInTheChain)
{
    start(gate.handler());
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/a") + ProxyFixture::post("/b", ProxyFixture::get("/smuggled"))
                + ProxyFixture::get("/c"));
    STRCMP_EQUAL(firstLineOf("/a").c_str(), socket.read().value().body.c_str());
    STRCMP_EQUAL("POST /b HTTP/1.1", socket.read().value().body.c_str());
    STRCMP_EQUAL(firstLineOf("/c").c_str(), socket.read().value().body.c_str());
    CHECK_EQUAL(3, gate.requests());
}

// Guards against targets that keep working on requests whose caller has disconnected.
TEST(Pipelining, cancelsAllRequestsWhenTheCallerCloses)
{
    std::atomic<int> cancelled = 0;
    start([&](const TestMessage & /*request*/, TestSocket &connection) {
        cancelled += connection.waitClosed() ? 1 : 0;
        return false;
    });
    auto closing = proxy.connect();
    auto halfClosing = proxy.connect();
    closing.send(ProxyFixture::get("/a") + ProxyFixture::get("/b"));
    halfClosing.send(ProxyFixture::get("/c") + ProxyFixture::get("/d"));
    CHECK(ProxyFixture::waitUntil([&] { return target->requests() == 4; }));
    closing.close();
    halfClosing.shutdownSend();
    CHECK(ProxyFixture::waitUntil([&] { return cancelled == 4; }));
}

// Guards against a caller that fills the proxy's memory with requests. What exceeds the bound stays in the socket.
TEST(Pipelining, readsNoMoreRequestsThanTheBound)
{
    start(gate.handler());
    auto socket = proxy.connect();
    std::string chain;
    for (int i = 0; i < 20; ++i) {
        chain += ProxyFixture::get("/held/" + std::to_string(i));
    }
    socket.send(chain);
    CHECK(gate.waitForRequests(8));
    CHECK(socket.staysOpenAndIdle(50));
    CHECK_EQUAL(8, gate.requests());
    gate.open();
    for (int i = 0; i < 20; ++i) {
        STRCMP_EQUAL(firstLineOf("/held/" + std::to_string(i)).c_str(), socket.read().value().body.c_str());
    }
    CHECK(gate.mostAtOnce() <= 8);
}

// Guards against requests that run although the caller sends them again, because a response before them closed the
// connection.
TEST(Pipelining, acceptsNothingBehindAResponseThatCloses)
{
    start(gate.handler());
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/held") + ProxyFixture::get("/b", "Connection: close\r\n")
                + ProxyFixture::get("/c"));
    CHECK(gate.waitForRequests(1));
    gate.open();
    const auto first = socket.read().value();
    STRCMP_EQUAL(firstLineOf("/held").c_str(), first.body.c_str());
    STRCMP_EQUAL("", first.header("connection").c_str());
    const auto last = socket.read().value();
    STRCMP_EQUAL(firstLineOf("/b").c_str(), last.body.c_str());
    STRCMP_EQUAL("close", last.header("connection").c_str());
    CHECK(socket.waitClosed());
    CHECK_EQUAL(2, gate.requests());
}

// Guards against a planned stop that cuts off accepted requests: only the last response may announce the close.
TEST(Pipelining, answersEveryAcceptedRequestDuringAShutdown)
{
    start(gate.handler());
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/held/a") + ProxyFixture::get("/held/b") + ProxyFixture::get("/held/c"));
    CHECK(gate.waitForRequests(3));
    std::atomic<bool> drained = false;
    proxy.server->drain([&] { drained = true; });
    socket.send(ProxyFixture::get("/d"));
    gate.open();
    int answered = 0;
    std::string connection;
    while (connection.empty()) {
        const auto response = socket.read();
        CHECK(response.has_value());
        CHECK_EQUAL(200, response->status());
        connection = response->header("connection");
        ++answered;
    }
    STRCMP_EQUAL("close", connection.c_str());
    CHECK(answered >= 3);
    CHECK(socket.waitClosed());
    CHECK_EQUAL(answered, static_cast<int>(gate.requests()));
    CHECK(ProxyFixture::waitUntil([&] { return drained.load(); }));
}

// Guards against a malformed request that costs the requests before it their responses.
TEST(Pipelining, answersTheRequestsBeforeAMalformedOne)
{
    start(gate.handler());
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/held") + ProxyFixture::get("/b") + "NOT HTTP\r\n\r\n" + ProxyFixture::get("/c"));
    CHECK(gate.waitForRequests(2));
    gate.open();
    STRCMP_EQUAL(firstLineOf("/held").c_str(), socket.read().value().body.c_str());
    STRCMP_EQUAL(firstLineOf("/b").c_str(), socket.read().value().body.c_str());
    CHECK_EQUAL(400, socket.read().value().status());
    CHECK(socket.waitClosed());
    CHECK_EQUAL(2, gate.requests());
}

// Guards against a caller that gets the second copy of another caller's response, which a target sends late on a
// connection that is in use again.
TEST(Pipelining, skipsASecondCopyOfAnEarlierResponse)
{
    proxy.options.headers.requestId = "Call-Id";
    std::mutex mutex;
    std::string previous;
    start([&](const TestMessage &request, TestSocket &connection) {
        const auto answer =
            TestTarget::response("200 OK", request.header("call-id"), "Call-Id: " + request.header("call-id") + "\r\n");
        const std::lock_guard lock(mutex);
        connection.send(previous);
        previous = answer;
        return connection.send(answer);
    });
    auto socket = proxy.connect();
    std::string chain;
    for (const auto *id : {"1", "2", "3", "4"}) {
        chain += ProxyFixture::get("/", std::string("Call-Id: ") + id + "\r\n");
    }
    for (int round = 0; round < 3; ++round) {
        socket.send(chain);
        for (const auto *id : {"1", "2", "3", "4"}) {
            const auto response = socket.read().value();
            CHECK_EQUAL(200, response.status());
            STRCMP_EQUAL(id, response.body.c_str());
        }
    }
}
