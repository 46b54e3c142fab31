#include "proxyfixture.h"

#include <condition_variable>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Delays the traffic thread that records an event, as a busy machine does. */
class BlockingLog : public RequestLog
{
public:
    void record(const RequestEvent & /*event*/) override
    {
        std::unique_lock lock(m_mutex);
        m_blocked = m_block;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return !m_block; });
        m_blocked = false;
    }

    /** Makes the next record() block until release() is called. */
    void block()
    {
        const std::lock_guard lock(m_mutex);
        m_block = true;
    }

    /** Returns whether a thread is blocked within five seconds. */
    bool waitBlocked()
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 5s, [this] { return m_blocked; });
    }

    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_block = false;
        m_changed.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_block = false;
    bool m_blocked = false;
};

} // namespace

TEST_GROUP(DelayedThread)
{
    static constexpr auto timeout = 1000ms;

    BlockingLog log;
    ProxyFixture proxy; ///< After the log, which its threads use until it is destroyed.

    void start(const TestTarget &target)
    {
        proxy.timeout = timeout;
        proxy.log = &log;
        proxy.addTarget(target);
        proxy.start();
    }

    void teardown() override
    {
        log.release();
    }

    /** Delays the only traffic thread, by a request that is refused and logged. */
    void block()
    {
        log.block();
        auto caller = proxy.connect();
        caller.send(ProxyFixture::get("/", "X-Hornbeam-Deadline-Ms: 0\r\n"));
        CHECK(log.waitBlocked());
    }

    static int statusOf(TestSocket & caller)
    {
        const auto response = caller.read();
        return response && response->complete ? response->status() : 0;
    }
};

// Guards against a connection that closes without an announcement after a response that was written late.
TEST(DelayedThread, keepsTheConnectionAfterTheLateEndOfAResponse)
{
    std::atomic<bool> finish = false;
    std::atomic<bool> finished = false;
    const TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
        ProxyFixture::waitUntil([&] { return finish.load(); });
        connection.send("full");
        finished = true;
        return true;
    });
    start(target);
    auto caller = proxy.connect();
    const auto sent = std::chrono::steady_clock::now();
    caller.send(ProxyFixture::get("/"));
    CHECK(ProxyFixture::waitUntil([&] { return !caller.staysOpenAndIdle(0); }));
    block();
    finish = true;
    CHECK(ProxyFixture::waitUntil([&] { return finished.load(); }));
    std::this_thread::sleep_until(sent + timeout + 100ms);
    log.release();
    const auto status = statusOf(caller);
    CHECK_EQUAL(200, status);
    caller.send(ProxyFixture::get("/"));
    const auto next = statusOf(caller);
    CHECK_EQUAL(200, next);
}

// Guards against a request that arrives in time on an idle connection and is dropped with it.
TEST(DelayedThread, answersARequestThatArrivedBeforeTheIdleTimeout)
{
    const TestTarget target(TestTarget::answer("fine"));
    proxy.options.idleTimeout = timeout;
    start(target);
    auto caller = proxy.connect();
    caller.send(ProxyFixture::post("/book", "slot 5", "Idempotency-Key: k1\r\n"));
    const auto first = statusOf(caller);
    CHECK_EQUAL(200, first);
    const auto idle = std::chrono::steady_clock::now();
    block();
    caller.send(ProxyFixture::get("/"));
    std::this_thread::sleep_until(idle + timeout + 100ms);
    log.release();
    const auto second = statusOf(caller);
    CHECK_EQUAL(200, second);
}

// Guards against a deadline that is noticed before a response that arrived in time, because many events are pending.
TEST(DelayedThread, deliversAResponseThatArrivedInTimeBehindManyEvents)
{
    constexpr int callers = 200;
    constexpr auto firstTimer = 300ms;
    std::atomic<bool> finish = false;
    std::atomic<bool> finished = false;
    const TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        ProxyFixture::waitUntil([&] { return finish.load(); });
        const bool silent = request.startLine.find("/silent") != std::string::npos;
        const bool sent = !silent && connection.send(TestTarget::response("200 OK", "fine"));
        finished = finished || sent;
        return sent;
    });
    start(target);
    const std::string refused = "X-Hornbeam-Deadline-Ms: 0\r\n";
    std::vector<TestSocket> crowd;
    for (int i = 0; i < callers; ++i) {
        crowd.push_back(proxy.connect());
        crowd.back().send(ProxyFixture::get("/", refused));
        const auto status = statusOf(crowd.back());
        CHECK_EQUAL(503, status);
    }
    auto caller = proxy.connect();
    auto early = proxy.connect();
    const auto sent = std::chrono::steady_clock::now();
    caller.send(ProxyFixture::get("/"));
    early.send(ProxyFixture::get("/silent", "X-Hornbeam-Deadline-Ms: " + std::to_string(firstTimer.count()) + "\r\n"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 2; }));
    block();
    // The system reports events in the order in which they occur, and not more than 128 at a time.
    std::this_thread::sleep_until(sent + firstTimer + 100ms);
    for (auto &other : crowd) {
        other.send(ProxyFixture::get("/", refused));
    }
    finish = true;
    CHECK(ProxyFixture::waitUntil([&] { return finished.load(); }));
    std::this_thread::sleep_until(sent + timeout + 100ms);
    log.release();
    const auto status = statusOf(caller);
    CHECK_EQUAL(200, status);
}

// Guards against a caller without a response if the target answers at the deadline.
TEST(DelayedThread, answersEveryRequestIfTheTargetAnswersAtTheDeadline)
{
    constexpr auto shortTimeout = 20ms;
    std::atomic<int> offset = 0;
    const TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        std::this_thread::sleep_for(shortTimeout + std::chrono::microseconds(50 * offset));
        connection.send(TestTarget::response("200 OK", "fine"));
        return true;
    });
    start(target);
    proxy.timeout = shortTimeout;
    proxy.publish();
    auto caller = proxy.connect();
    for (offset = -30; offset < 10; ++offset) {
        caller.send(ProxyFixture::get("/"));
        const auto status = statusOf(caller);
        CHECK(status == 200 || status == 503 || status == 504);
    }
}
