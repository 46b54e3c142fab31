#include "bufferpool.h"
#include "connectionlimits.h"
#include "proxyfixture.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(ConnectionLimits){};

// Guards against a crowd of silent connections that closes the idle connections of ordinary callers.
TEST(ConnectionLimits, closesUnusedConnectionsBeforeIdleOnes)
{
    const TimePoint now{100s};
    const std::vector<ConnectionActivity> all = {
        {.waiting = true, .served = true, .since = now - 20s},
        {.waiting = true, .served = false, .since = now - 1s},
        {.waiting = true, .served = false, .since = now - 2s},
        {.waiting = false, .served = true, .since = now - 50s},
        {.waiting = true, .served = false, .since = now - 100ms},
    };
    CHECK(ConnectionLimits::toClose(all, 8, now) == std::vector<std::size_t>({2}));
    CHECK(ConnectionLimits::toClose(all, 80, now) == std::vector<std::size_t>({2, 1, 0}));
}

// Guards against new connections that are closed before an ordinary caller could send its first request.
TEST(ConnectionLimits, leavesTimeForTheFirstRequest)
{
    const TimePoint now{100s};
    CHECK(ConnectionLimits::toClose({{.waiting = true, .served = false, .since = now - 200ms}}, 1, now).empty());
    CHECK(ConnectionLimits::toClose({{.waiting = true, .served = true, .since = now - 900ms}}, 1, now).empty());
}

// Guards against connections of clients that use up the descriptors for targets and the store.
TEST(ConnectionLimits, leaveDescriptorsForTargets)
{
    CHECK_EQUAL(1000, ConnectionLimits::callerConnections(1000, 20000));
    for (const std::uint64_t descriptors : {256, 1024, 4096}) {
        const auto used = ConnectionLimits::callerConnections(100000, descriptors)
            + ConnectionLimits::peerConnections(100000, descriptors);
        CHECK(used >= 32);
        CHECK(used + 160 + (descriptors - 160) / 5 <= descriptors);
    }
}

TEST_GROUP(BufferPool){};

// Guards against ordinary requests that are refused because a crowd has filled the pool, and against bytes that are
// counted after their request has ended.
TEST(BufferPool, refusesLargeSharesOnlyAndReturnsTheirBytes)
{
    BufferPool pool(100000);
    {
        BufferPool::Share large(pool);
        CHECK(large.resize(100000));
        BufferPool::Share second(pool);
        CHECK_FALSE(second.resize(50000));
        CHECK(second.resize(BufferPool::freeBytes));
        const auto moved = large.take();
        CHECK(large.resize(0));
        CHECK_EQUAL(100000 - BufferPool::freeBytes, pool.used());
    }
    CHECK_EQUAL(0, pool.used());
}

TEST_GROUP(ClientLimits)
{
    ProxyFixture proxy;
    TestTarget target{TestTarget::answer("ok")};

    void setup() override
    {
        proxy.addTarget(target);
    }

    /** A request of about @p bytes bytes whose headers have the shape of ordinary ones. */
    static std::string requestOf(std::size_t bytes)
    {
        std::string headers;
        for (int i = 0; headers.size() + 100 < bytes; ++i) {
            headers += "X-Field-" + std::to_string(i) + ": " + std::string(48, 'v') + "\r\n";
        }
        return ProxyFixture::get("/", headers);
    }
};

// Guards against a limit that clients inside the limits of the configuration meet.
TEST(ClientLimits, servesHeadsUpToTheLimitOfTheConfiguration)
{
    proxy.limits.maxHeaderBytes = 65536;
    proxy.start();
    CHECK_EQUAL(200, proxy.call(requestOf(60000)).value().status());
    std::string manyFields;
    for (int i = 0; i < 4000; ++i) {
        manyFields += "ab:\r\n";
    }
    CHECK_EQUAL(200, proxy.call(ProxyFixture::get("/", manyFields)).value().status());
    CHECK_EQUAL(431, proxy.call(requestOf(80000)).value().status());
}

// Guards against a head that is never completed, also behind a request on the same connection.
TEST(ClientLimits, endsAHeadThatIsNotCompletedInTime)
{
    proxy.limits.headerTimeout = 200ms;
    proxy.start();
    for (const auto &before : {std::string(), ProxyFixture::get("/")}) {
        auto socket = proxy.connect();
        socket.send(before + "GET / HTTP/1.1\r\nX-Slow: ");
        if (!before.empty()) {
            CHECK_EQUAL(200, socket.read().value().status());
        }
        const auto response = socket.read().value();
        CHECK_EQUAL(408, response.status());
        STRCMP_EQUAL("not-run", response.header("x-hornbeam-outcome").c_str());
        CHECK(socket.waitClosed());
    }
}

// Guards against a refusal of a request that has not been sent: an old client sends an empty line after its body.
TEST(ClientLimits, saysNothingOfEmptyLines)
{
    proxy.limits.headerTimeout = 50ms;
    proxy.options.idleTimeout = 1000ms;
    proxy.start();
    auto socket = proxy.connect();
    socket.send("\r\n");
    CHECK(socket.staysOpenAndIdle(150));
    CHECK_FALSE(socket.read());
}

// Guards against requests that are kept in memory together beyond the limit; ordinary ones are still served.
TEST(ClientLimits, refusesLargeRequestsWhileTheMemoryForRequestsIsUsed)
{
    proxy.options.maxBufferedBytes = 65536;
    proxy.start();
    auto holder = proxy.connect();
    holder.send("POST /book HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 1\r\nContent-Length: 100000\r\n\r\n"
                + std::string(60000, 'x'));
    const auto body = std::string(40000, 'y');
    std::optional<TestMessage> refused;
    CHECK(ProxyFixture::waitUntil([&] {
        refused = proxy.call(ProxyFixture::post("/book", body, "Idempotency-Key: 2\r\n"));
        return refused && refused->status() == 503;
    }));
    STRCMP_EQUAL("not-run", refused->header("x-hornbeam-outcome").c_str());
    CHECK(!refused->header("retry-after").empty());
    CHECK_EQUAL(200, proxy.call(ProxyFixture::post("/book", "small", "Idempotency-Key: 3\r\n")).value().status());
    holder.close();
    CHECK(ProxyFixture::waitUntil([&] {
        const auto response = proxy.call(ProxyFixture::post("/book", body, "Idempotency-Key: 4\r\n"));
        return response && response->status() == 200;
    }));
}
