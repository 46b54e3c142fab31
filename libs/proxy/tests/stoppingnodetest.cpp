#include "relayfixture.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

std::string exportRequest(const std::string &id)
{
    return "GET /export HTTP/1.1\r\nHost: rota.example\r\nCall-Id: " + id + "\r\n\r\n";
}

/** A front node that is stopped while a test runs; its process ends when the stop does. */
class StoppingNodeTest : public Utest, protected RelayFixture
{
protected:
    std::atomic<bool> drained = false;

    void beginStop()
    {
        front->server->drain([this] { drained = true; });
    }

    /** Ends the process of the front node at the end of its stop. */
    void endStop()
    {
        CHECK(ProxyFixture::waitUntil([this] { return drained.load(); }));
        front->server.reset();
    }
};

} // namespace

TEST_GROUP_BASE(StoppingNode, StoppingNodeTest){};

// Guards against a large response that a stop cuts off because it shares the link with responses that have more time.
TEST(StoppingNode, completesALargeResponseBesideOthersOnTheLink)
{
    // At 5 Mbit/s, the response alone takes 0.4 s, and 1.8 s if it shares the link with four others.
    constexpr std::size_t bytes = 200000;
    constexpr std::size_t otherBytes = 400000;
    const TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        const bool other = request.header("call-id").front() == 'o';
        return connection.send(signedResponse(request, std::string(other ? otherBytes : bytes, 'x')));
    });
    linkMegabits = 5;
    timeout = 4000ms;
    frontOptions.stopNotice = 1000ms;
    frontOptions.drainBound = 1500ms;
    addTarget(target, "first");
    start();
    const auto neighbour = startCallerNode({.hostService = "desk"});
    std::vector<TestSocket> others;
    for (int i = 0; i < 4; ++i) {
        others.push_back(TestSocket::connectTo(neighbour->server->localEndpoint()));
        others.back().send(exportRequest("o" + std::to_string(i)));
    }
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 4; }));
    beginStop();
    auto socket = TestSocket::connectTo(front->server->localEndpoint());
    socket.send(exportRequest("c"));
    std::optional<TestMessage> response;
    std::jthread caller([&] { response = socket.read(); });
    endStop();
    caller.join();
    CHECK(response.has_value());
    CHECK(response->complete);
    CHECK_EQUAL(200, response->status());
    CHECK_EQUAL(bytes, response->body.size());
}
