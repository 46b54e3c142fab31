#include "proxyfixture.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Keeps what the log says about requests whose response is incomplete. */
class IncompleteLog : public RequestLog
{
public:
    struct Entry
    {
        std::string decision;
        std::string stage;
        RequestProgress progress; ///< Without the stage, whose text the event does not own.
    };

    void record(const RequestEvent &event) override
    {
        if (event.progress) {
            const std::lock_guard lock(m_mutex);
            m_entries.push_back({std::string(event.decision), std::string(event.progress->stage), *event.progress});
        }
    }

    std::vector<Entry> entries() const
    {
        const std::lock_guard lock(m_mutex);
        return m_entries;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Entry> m_entries;
};

constexpr std::size_t largeBytes = std::size_t{32} * 1024 * 1024;

} // namespace

TEST_GROUP(ShutdownLog)
{
    IncompleteLog log;
    ProxyFixture proxy; ///< After the log, which its threads use until it is destroyed.

    void start(const TestTarget &target)
    {
        proxy.options.stopNotice = 10ms;
        proxy.options.drainBound = 300ms;
        proxy.log = &log;
        proxy.addTarget(target);
        proxy.start();
    }

    void drain()
    {
        std::atomic<bool> drained = false;
        proxy.server->drain([&] { drained = true; });
        CHECK(ProxyFixture::waitUntil([&] { return drained.load(); }));
    }
};

// Guards against a request that a stop cuts off without a trace of what it was waiting for.
TEST(ShutdownLog, saysThatTheCallerDidNotRead)
{
    const TestTarget target(TestTarget::answer(std::string(largeBytes, 'x')));
    start(target);
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    drain();
    const auto entries = log.entries();
    CHECK_EQUAL(1, entries.size());
    STRCMP_EQUAL("interrupted", entries[0].decision.c_str());
    STRCMP_EQUAL("caller", entries[0].stage.c_str());
    CHECK_EQUAL(largeBytes, entries[0].progress.bytesExpected);
    CHECK_COMPARE(entries[0].progress.bytesSent, <, largeBytes);
    CHECK(entries[0].progress.caller >= 100ms);
    CHECK(proxy.metrics.render().find("hornbeam_proxy_interrupted_total 1") != std::string::npos);
}

// The same for a target that has not finished its response.
TEST(ShutdownLog, saysThatTheTargetWasSlow)
{
    std::atomic<bool> release = false;
    const TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf ");
        ProxyFixture::waitUntil([&] { return release.load(); });
        return false;
    });
    start(target);
    auto socket = proxy.connect();
    socket.send(ProxyFixture::get("/"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    drain();
    release = true;
    const auto entries = log.entries();
    CHECK_EQUAL(1, entries.size());
    STRCMP_EQUAL("body", entries[0].stage.c_str());
    CHECK_EQUAL(5, entries[0].progress.bytesSent);
    CHECK(entries[0].progress.body >= 100ms);
}
