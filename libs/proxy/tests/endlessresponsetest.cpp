#include "endlessresponses.h"
#include "processmemory.h"
#include "proxyfixture.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Time for which the calling thread has been ready but the system ran others instead. */
std::chrono::nanoseconds runDelay()
{
    std::ifstream file("/proc/thread-self/schedstat");
    std::int64_t ran = 0;
    std::int64_t delayed = 0;
    file >> ran >> delayed;
    return std::chrono::nanoseconds(delayed);
}

/** Counts the requests that ended without a complete response of the target. */
class EndLog : public RequestLog
{
public:
    void record(const RequestEvent &event) override
    {
        m_delay = runDelay();
        m_ends += event.decision == "failed" || event.decision == "undelivered" ? 1 : 0;
    }

    int ends() const
    {
        return m_ends;
    }

    /** Run delay of the traffic thread at the last event. */
    std::chrono::nanoseconds delay() const
    {
        return m_delay;
    }

private:
    std::atomic<std::chrono::nanoseconds> m_delay = std::chrono::nanoseconds::zero();
    std::atomic<int> m_ends = 0;
};

} // namespace

TEST_GROUP(EndlessResponse)
{
    static constexpr auto timeout = 200ms;
    static constexpr std::size_t pieceBytes = 16384;

    EndLog log; ///< Before the proxy, whose threads use it.
    std::unique_ptr<ProxyFixture> proxy;
    std::unique_ptr<TestTarget> target;
    std::atomic<bool> closed = false;
    std::atomic<int> answers = 0; ///< Answers of the target to other requests.
    std::atomic<std::chrono::steady_clock::time_point> answered; ///< Time after the last of them.

    bool answer(TestSocket & socket)
    {
        const bool open = socket.send(TestTarget::response("200 OK", "fine", "Signed-By: t\r\n"));
        answered = std::chrono::steady_clock::now();
        ++answers;
        return open;
    }

    /** Starts a proxy with one target that sends @p response below /endless and answers other requests. */
    void start(const EndlessResponse &response, bool slow, bool signedResponses)
    {
        closed = false;
        proxy = std::make_unique<ProxyFixture>();
        proxy->timeout = timeout;
        proxy->log = &log;
        proxy->options.acceptUnframedResponses = true;
        if (signedResponses) {
            proxy->options.headers.signature = "Signed-By";
        }
        target = std::make_unique<TestTarget>([this, response, slow](const TestMessage &request, TestSocket &socket) {
            if (request.startLine.find("/endless") == std::string::npos) {
                return answer(socket);
            }
            const auto piece = response.pieces(slow ? 1 : pieceBytes);
            bool open = socket.send(response.headWith("Signed-By: t\r\n"));
            for (std::size_t i = 0; open; ++i) {
                open = slow ? socket.send(piece.substr(i % piece.size(), 1)) : socket.send(piece);
                if (slow) {
                    std::this_thread::sleep_for(5ms);
                }
            }
            closed = true;
            return false;
        });
        proxy->addTarget(*target);
        proxy->start();
    }

    void teardown() override
    {
        if (proxy) {
            proxy->server.reset();
        }
    }

    std::uint32_t targetFailures() const
    {
        const auto dump = nlohmann::json::parse(proxy->server->dumpJson());
        return dump["services"]["rota"]["targets"][0]["consecutiveFailures"].get<std::uint32_t>();
    }

    /** The caller discards what it reads, so that only the proxy can keep it. */
    void checkMemory(const std::string &name)
    {
        constexpr std::size_t allowed = std::size_t{8} * 1024 * 1024;
        const auto before = residentBytes();
        auto caller = proxy->connect();
        caller.send(ProxyFixture::get("/endless", "Connection: close\r\n"));
        CHECK_TEXT(caller.waitClosed(), name.c_str());
        CHECK_TEXT(ProxyFixture::waitUntil([this] { return closed.load(); }), name.c_str());
        CHECK_TEXT(residentBytes() < before + allowed, name.c_str());
        closed = false;
    }

    /**
     * Requests @p path until it is answered. The proxy may refuse the request only if the target takes at least @p time
     * for its answer, because the machine is busy.
     */
    void checkServed(TestSocket & caller, const std::string &path, std::chrono::milliseconds time, const char *name)
    {
        constexpr int maxRepetitions = 10;
        int status = 504;
        for (int i = 0; status == 504 && i <= maxRepetitions; ++i) {
            const int before = answers;
            const auto sent = std::chrono::steady_clock::now();
            caller.send(ProxyFixture::get(path));
            const auto answer = caller.read();
            CHECK_TEXT(answer.has_value(), name);
            status = answer->status();
            if (status == 200 || status == 504) {
                CHECK_TEXT(ProxyFixture::waitUntil([&] { return answers > before; }), name);
                CHECK_TEXT(status == 200 || answered.load() >= sent + time, name);
            }
        }
        CHECK_EQUAL_TEXT(200, status, name);
    }

    void check(const EndlessResponse &response, bool slow, bool signedResponses)
    {
        const auto name =
            std::string(response.name) + (slow ? ", slow" : ", fast") + (signedResponses ? ", signed" : "");
        start(response, slow, signedResponses);
        auto other = proxy->connect();
        checkServed(other, "/other", timeout, name.c_str());
        checkMemory(name);
        const int ends = log.ends();
        const auto delay = log.delay() + runDelay();
        const auto sent = std::chrono::steady_clock::now();
        auto caller = proxy->connect();
        caller.send(ProxyFixture::get("/endless"));
        const auto answer = caller.readAndDiscard();
        const auto took = std::chrono::steady_clock::now() - sent;
        const auto own = runDelay();
        CHECK_TEXT(ProxyFixture::waitUntil([&] { return log.ends() > ends; }), name.c_str());
        CHECK_TEXT(took - (log.delay() + own - delay) < timeout + 100ms, name.c_str());
        CHECK_TEXT(!answer || answer->status() >= 500 || !answer->complete, name.c_str());
        CHECK_TEXT(ProxyFixture::waitUntil([this] { return closed.load(); }), name.c_str());
        CHECK_TEXT(targetFailures() >= 1, name.c_str());
        checkServed(other, "/other", timeout, name.c_str());
        proxy->server.reset();
        target.reset();
    }
};

// Guards against a target that keeps a request, a connection and memory with bytes that never become a response.
TEST(EndlessResponse, endsAtFullSpeed)
{
    for (const auto &response : endlessResponses()) {
        check(response, false, false);
        check(response, false, true);
    }
}

// The same for a target that sends a byte from time to time, so that no wait for a single byte is long.
TEST(EndlessResponse, endsByteByByte)
{
    for (const auto &response : endlessResponses()) {
        check(response, true, false);
        check(response, true, true);
    }
}

// Guards against a target that is ejected because a caller does not read its response.
TEST(EndlessResponse, isNotAFailureOfTheTargetIfTheCallerDoesNotRead)
{
    start({"body with length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "body"}, false, false);
    proxy->timeout = 2500ms;
    proxy->publish();
    auto socket = proxy->connect();
    socket.send(ProxyFixture::get("/endless"));
    CHECK(ProxyFixture::waitUntil([this] { return closed.load(); }));
    CHECK_EQUAL(0, targetFailures());
}

// Guards against interim responses that extend the attempt: another target must still get the request in time.
TEST(EndlessResponse, leavesTimeForAnotherTarget)
{
    start({"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"}, true, true);
    proxy->service.attemptTimeout = 150ms;
    proxy->timeout = 3000ms;
    TestTarget good([this](const TestMessage & /*request*/, TestSocket &socket) { return answer(socket); });
    proxy->addTarget(good);
    proxy->publish();
    for (int i = 0; i < 4; ++i) {
        auto caller = proxy->connect();
        checkServed(caller, "/endless", proxy->service.attemptTimeout, "another target");
    }
    proxy->server.reset();
}
