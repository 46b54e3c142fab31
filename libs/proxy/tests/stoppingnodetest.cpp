#include "relayfixture.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

std::string getRequest(const std::string &path, const std::string &id, const std::string &headers = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: rota.example\r\n" + headers + "Call-Id: " + id + "\r\n\r\n";
}

/** A front node that is stopped while a test runs; its process ends when the stop does. */
class StoppingNodeTest : public Utest, protected RelayFixture
{
protected:
    static constexpr std::size_t exportBytes = 200000;
    static constexpr std::size_t otherExportBytes = 400000;

    std::atomic<bool> drained = false;
    std::atomic<bool> answeredBeforeStop =
        false; ///< The response of callUntilStopped() came before the end of the stop.

    /** Responds with exportBytes, and with otherExportBytes to the requests of occupyLink(). */
    static bool respondToExport(const TestMessage &request, TestSocket &connection)
    {
        const bool other = request.header("call-id").front() == 'o';
        return connection.send(signedResponse(request, std::string(other ? otherExportBytes : exportBytes, 'x')));
    }

    /** Sends four requests to @p node and waits until @p target has them. Returns their connections. */
    static std::vector<TestSocket> occupyLink(const RelayNode &node,
                                              const TestTarget &target,
                                              const std::string &headers = {})
    {
        std::vector<TestSocket> others;
        for (int i = 0; i < 4; ++i) {
            others.push_back(TestSocket::connectTo(node.server->localEndpoint()));
            others.back().send(getRequest("/export", "o" + std::to_string(i), headers));
        }
        CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 4; }));
        return others;
    }

    static void checkExport(const std::optional<TestMessage> &response)
    {
        CHECK(response.has_value());
        CHECK(response->complete);
        CHECK_EQUAL(200, response->status());
        CHECK_EQUAL(exportBytes, response->body.size());
    }

    using Responses = std::vector<std::optional<TestMessage>>;

    /**
     * Requests @p callers large responses from the front node, with @p pause before the next one, and ends the process
     * of @p stopping when its stop ends. Returns the responses, if any.
     */
    Responses exportUntilStopped(int callers, std::chrono::milliseconds pause, RelayNode &stopping)
    {
        Responses responses(callers);
        std::vector<std::jthread> threads;
        for (auto &response : responses) {
            threads.emplace_back([&, id = "c" + std::to_string(threads.size())] {
                auto socket = TestSocket::connectTo(front->server->localEndpoint());
                socket.send(getRequest("/export", id));
                response = socket.read();
            });
            std::this_thread::sleep_for(pause);
        }
        CHECK(ProxyFixture::waitUntil([this] { return drained.load(); }));
        stopping.server.reset();
        threads.clear();
        return responses;
    }

    /** Checks that each response is complete or says that the request did not run. Returns the number of the former. */
    static int countServed(const Responses &responses)
    {
        int served = 0;
        for (const auto &response : responses) {
            CHECK(response.has_value());
            CHECK(response->complete);
            CHECK(response->status() == 200 || response->header("x-hornbeam-outcome") == "not-run");
            served += response->status() == 200 ? 1 : 0;
        }
        return served;
    }

    /** A target whose every fifth run takes much longer than the others, and the ids of the requests that it runs. */
    struct UnevenTarget
    {
        std::mutex mutex;
        std::set<std::string> ran;
        std::atomic<int> runs = 0;
        TestTarget target{[this](const TestMessage &request, TestSocket &connection) {
            {
                const std::lock_guard lock(mutex);
                ran.insert(request.header("call-id"));
            }
            std::this_thread::sleep_for(++runs % 5 == 0 ? 400ms : 20ms);
            return connection.send(signedResponse(request, "ok"));
        }};
    };

    /** Starts the nodes for @p uneven with a short stop, and lets them learn its times. */
    void startFor(UnevenTarget &uneven, const std::string &path)
    {
        nodes.clear();
        targets.clear();
        drained = false;
        targetOptions.stopNotice = frontOptions.stopNotice = 300ms;
        targetOptions.drainBound = frontOptions.drainBound = 1500ms;
        addTarget(uneven.target, "first");
        start();
        for (int i = 0; i < 10; ++i) {
            CHECK_EQUAL(200, call("POST", path).status());
        }
    }

    /** Stops one of the nodes and waits until its process would end. */
    void stopAndWait(bool targetStops)
    {
        (targetStops ? nodes[0] : front)->server->drain([this] { drained = true; });
        CHECK(ProxyFixture::waitUntil([this] { return drained.load(); }));
    }

    static void checkServed(const UnevenTarget &uneven, const std::set<std::string> &served, const std::string &text)
    {
        for (const auto &id : uneven.ran) {
            const bool learning = id.find('-') == std::string::npos;
            CHECK_TEXT(learning || served.contains(id), (text + ": " + id + " was cut off").c_str());
        }
    }

    /** Sends requests until the nodes take no more, and checks that each one that runs gets its response. */
    void checkRequestsDuringStop(const std::string &path, bool targetStops)
    {
        constexpr int callers = 6;
        UnevenTarget uneven;
        startFor(uneven, path);
        const auto entry = front->server->localEndpoint();
        std::mutex mutex;
        std::set<std::string> served;
        std::atomic<bool> ended = false;
        std::vector<std::jthread> threads;
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([&, prefix = "c" + std::to_string(i) + "-"] {
                std::optional<TestSocket> socket;
                for (int n = 0; !ended; ++n) {
                    const auto id = prefix + std::to_string(n);
                    if (!socket) {
                        socket.emplace(TestSocket::connectTo(entry));
                    }
                    socket->send(getRequest(path, id));
                    const auto response = socket->read();
                    if (!response || !response->complete) {
                        return;
                    }
                    if (response->status() == 200) {
                        const std::lock_guard lock(mutex);
                        served.insert(id);
                    }
                    if (response->header("connection") == "close") {
                        socket.reset();
                    }
                }
            });
        }
        stopAndWait(targetStops);
        ended = true;
        threads.clear();
        checkServed(uneven, served, path + (targetStops ? ", the target's node stops" : ", the caller's node stops"));
        CHECK_COMPARE(served.size(), >, callers);
    }

    /** Sends bodies that end one after the other until the stop ends, and checks the same. */
    void checkLateBodies(const std::string &path)
    {
        constexpr int callers = 30;
        constexpr auto firstEnd = 600ms;
        UnevenTarget uneven;
        startFor(uneven, path);
        std::vector<TestSocket> sockets;
        std::vector<std::jthread> threads;
        std::mutex mutex;
        std::set<std::string> served;
        for (int i = 0; i < callers; ++i) {
            sockets.push_back(TestSocket::connectTo(front->server->localEndpoint()));
            sockets.back().send("POST " + path + " HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c-" + std::to_string(i)
                                + "\r\nContent-Length: 2\r\n\r\nh");
        }
        CHECK(ProxyFixture::waitUntil([&] { return front->server->requestsInFlight() == callers; }));
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([&, i] {
                std::this_thread::sleep_for(firstEnd + i * 30ms);
                sockets[i].send("i");
                const auto response = sockets[i].read();
                if (response && response->complete && response->status() == 200) {
                    const std::lock_guard lock(mutex);
                    served.insert("c-" + std::to_string(i));
                }
            });
        }
        stopAndWait(false);
        front->server.reset();
        threads.clear();
        checkServed(uneven, served, path);
        CHECK_COMPARE(served.size(), >, 0);
    }

    void beginStop()
    {
        front->server->drain([this] { drained = true; });
    }

    /** Sends a request to the front node, and ends its process when the stop ends. Returns the response, if any. */
    std::optional<TestMessage> callUntilStopped(const std::string &request)
    {
        auto socket = TestSocket::connectTo(front->server->localEndpoint());
        socket.send(request);
        return readUntilStopped(socket);
    }

    /** Reads a response, and ends the process of the front node when the stop ends. */
    std::optional<TestMessage> readUntilStopped(TestSocket &socket)
    {
        std::optional<TestMessage> response;
        std::jthread caller([&] {
            response = socket.read();
            answeredBeforeStop = !drained;
        });
        CHECK(ProxyFixture::waitUntil([this] { return drained.load(); }));
        front->server.reset();
        caller.join();
        return response;
    }
};

} // namespace

TEST_GROUP_BASE(StoppingNode, StoppingNodeTest){};

// Guards against a large response that a stop cuts off because it shares the link with responses that have more time.
TEST(StoppingNode, completesALargeResponseBesideOthersOnTheLink)
{
    // At 5 Mbit/s, the response alone takes 0.4 s, and 1.8 s if it shares the link with four others.
    const TestTarget target(respondToExport);
    targetOptions.linkMegabits = 5;
    timeout = 4000ms;
    frontOptions.stopNotice = 1000ms;
    frontOptions.drainBound = 1500ms;
    addTarget(target, "first");
    start();
    const auto neighbour = startCallerNode({.hostService = "desk"});
    const auto others = occupyLink(*neighbour, target);
    beginStop();
    checkExport(callUntilStopped(getRequest("/export", "c")));
}

// Guards against a response that was requested before the stop and is cut off by it, because the node of the target
// first sends responses with earlier deadlines to callers whose node does not stop.
TEST(StoppingNode, completesALargeResponseThatWasRequestedBeforeTheStop)
{
    // At 5 Mbit/s, the response alone takes 0.4 s; the others keep the link busy for 2.8 s.
    const TestTarget target(respondToExport);
    targetOptions.linkMegabits = 5;
    timeout = 8000ms;
    frontOptions.stopNotice = 500ms;
    frontOptions.drainBound = 2000ms;
    frontOptions.nodeId = "front";
    addTarget(target, "first");
    start();
    const auto neighbour = startCallerNode({.hostService = "desk", .nodeId = "neighbour"});
    const auto others = occupyLink(*neighbour, target, "Left-Ms: 6000\r\n");
    auto socket = TestSocket::connectTo(front->server->localEndpoint());
    socket.send(getRequest("/export", "c"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 5; }));
    beginStop();
    nodes[0]->server->peerStops("front");
    checkExport(readUntilStopped(socket));
}

// Guards against a response that the node of the target cuts off shortly before the stop of the caller's node ends,
// although it would have been complete by then.
TEST(StoppingNode, isNotCutOffByTheNodeOfTheTargetBeforeTheStopEnds)
{
    const TestTarget target([](const TestMessage &request, TestSocket &connection) {
        const auto whole = signedResponse(request, "response in two parts");
        std::this_thread::sleep_for(300ms);
        connection.send(whole.substr(0, whole.size() - 5));
        std::this_thread::sleep_for(1000ms);
        return connection.send(whole.substr(whole.size() - 5));
    });
    timeout = 4000ms;
    frontOptions.drainBound = 1700ms;
    frontOptions.nodeId = "front";
    addTarget(target, "first");
    start();
    auto socket = TestSocket::connectTo(front->server->localEndpoint());
    socket.send(getRequest("/", "c"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    beginStop();
    nodes[0]->server->peerStops("front");
    const auto response = readUntilStopped(socket);
    CHECK(response.has_value());
    CHECK_EQUAL(200, response->status());
}

// Guards against a response in progress that a stop cuts off because its host's link would need longer than the stop.
TEST(StoppingNode, handsOverTheResponsesInProgressBeforeItEnds)
{
    // At 5 Mbit/s, the two responses take 3.6 s.
    constexpr std::size_t bytes = 1000000;
    const TestTarget target(answerSigned(std::string(bytes, 'x')));
    timeout = 4000ms;
    frontOptions.linkMegabits = 5;
    frontOptions.drainBound = 1500ms;
    addTarget(target, "first");
    start();
    auto other = TestSocket::connectTo(front->server->localEndpoint());
    other.send(getRequest("/export", "o"));
    auto socket = TestSocket::connectTo(front->server->localEndpoint());
    socket.send(getRequest("/export", "c"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 2; }));
    std::optional<TestMessage> otherResponse;
    std::jthread caller([&] { otherResponse = other.read(); });
    beginStop();
    const auto response = readUntilStopped(socket);
    caller.join();
    for (const auto &it : {response, otherResponse}) {
        CHECK(it.has_value());
        CHECK(it->complete);
        CHECK_EQUAL(bytes, it->body.size());
    }
}

// Guards against targets that keep working on a request after the node that must deliver the response has stopped.
TEST(StoppingNode, limitsTheDeadlineOfARequestToTheEndOfTheStop)
{
    std::atomic<int> left = 0;
    const TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        left = std::stoi(request.header("left-ms"));
        return connection.send(signedResponse(request, "ok"));
    });
    frontOptions.drainBound = 1000ms;
    addTarget(target, "first");
    start();
    CHECK_EQUAL(200, call("GET", "/").status());
    CHECK(left > 2000);
    beginStop();
    CHECK(callUntilStopped(getRequest("/", "c")).has_value());
    CHECK_COMPARE(left.load(), <, 1000);
}

// Guards against a request that waits for a response which the node cannot deliver before it stops.
TEST(StoppingNode, refusesARequestThatItCannotFinishAtOnce)
{
    const TestTarget target([](const TestMessage &request, TestSocket &connection) {
        std::this_thread::sleep_for(500ms);
        return connection.send(signedResponse(request, "ok"));
    });
    frontOptions.stopNotice = 400ms;
    frontOptions.drainBound = 400ms;
    addTarget(target, "first");
    start();
    for (int i = 0; i < 3; ++i) {
        CHECK_EQUAL(200, call("GET", "/").status());
    }
    beginStop();
    const auto response = callUntilStopped(getRequest("/", "c"));
    CHECK(response.has_value());
    CHECK(answeredBeforeStop);
    CHECK_EQUAL(503, response->status());
    STRCMP_EQUAL("not-run", response->header("x-hornbeam-outcome").c_str());
    CHECK(!response->header("retry-after").empty());
    CHECK_EQUAL(3, target.requests());
}

// Guards against responses that the node of the target admits during its stop although its link cannot send them by
// then.
TEST(StoppingNode, refusesRelayedRequestsForLargeResponsesThatItCannotSend)
{
    // At 5 Mbit/s, two of the four responses fit into the stop.
    constexpr int callers = 4;
    const TestTarget target(answerSigned(std::string(400000, 'x')));
    targetOptions = {.hostService = "rota", .linkMegabits = 5, .stopNotice = 1000ms, .drainBound = 1900ms};
    timeout = 4000ms;
    addTarget(target, "first");
    start();
    CHECK_EQUAL(200, call("GET", "/export").status()); // The node learns the size.
    nodes[0]->server->drain([this] { drained = true; });
    const int served = countServed(exportUntilStopped(callers, 30ms, *nodes[0]));
    CHECK_COMPARE(served, >=, 1);
    CHECK_COMPARE(served, <, callers);
}

// The same at the node of the callers, whose own link is slow.
TEST(StoppingNode, completesTheLargeResponsesThatFitIntoTheStop)
{
    constexpr int callers = 3;
    const TestTarget target(answerSigned(std::string(400000, 'x')));
    timeout = 4000ms;
    frontOptions.linkMegabits = 5;
    frontOptions.stopNotice = 1000ms;
    frontOptions.drainBound = 1900ms;
    addTarget(target, "first");
    start();
    beginStop();
    const auto responses = exportUntilStopped(callers, 0ms, *front);
    const auto complete = std::count_if(
        responses.begin(), responses.end(), [](const auto &it) { return it && it->complete && it->status() == 200; });
    CHECK_COMPARE(complete, >=, 2);
}

// Guards against a request that is sent again and again to a node that refuses it because it stops.
TEST(StoppingNode, leavesTheRequestsThatItRefusesToAnotherTarget)
{
    const TestTarget::Handler slow = [](const TestMessage &request, TestSocket &connection) {
        std::this_thread::sleep_for(300ms);
        return connection.send(signedResponse(request, "ok"));
    };
    const TestTarget stopping(slow);
    const TestTarget other(slow);
    targetOptions.stopNotice = 250ms;
    targetOptions.drainBound = 250ms;
    addTarget(stopping, "first");
    targetOptions = {.hostService = "rota"};
    addTarget(other, "second", 2);
    start();
    for (int i = 0; i < 6; ++i) {
        CHECK_EQUAL(200, call("GET", "/").status());
    }
    // Two requests occupy the second target, so the first one seems to be the better choice.
    std::vector<TestSocket> busy;
    const auto before = other.requests();
    for (int i = 0; other.requests() < before + 2 && i < 20; ++i) {
        busy.push_back(TestSocket::connectTo(front->server->localEndpoint()));
        busy.back().send(getRequest("/", "b" + std::to_string(i)));
        std::this_thread::sleep_for(5ms);
    }
    nodes[0]->server->drain([this] { drained = true; });
    const auto response = call("GET", "/");
    CHECK_EQUAL(200, response.status());
    CHECK(ProxyFixture::waitUntil([this] { return drained.load(); }));
}

// Guards against a caller that gives up after a 400, because its body was still on its way when the stop ended.
TEST(StoppingNode, refusesAnUnfinishedRequestAsNotRun)
{
    const TestTarget target(answerSigned("ok"));
    frontOptions.stopNotice = 300ms;
    frontOptions.drainBound = 700ms;
    addTarget(target, "first");
    start();
    beginStop();
    const auto response =
        callUntilStopped("GET / HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c\r\nContent-Length: 2\r\n\r\nh");
    CHECK(response.has_value());
    CHECK_EQUAL(503, response->status());
    STRCMP_EQUAL("not-run", response->header("x-hornbeam-outcome").c_str());
    CHECK_EQUAL(0, target.requests());
}

// Guards against requests that come late in a stop, are passed on because of their mean time, and take longer: they end
// without the target's response, and a non-idempotent one may have run.
TEST(StoppingNode, cutsOffNoRequestThatItPassesOn)
{
    for (const bool targetStops : {false, true}) {
        for (const char *path : {"/", "/book"}) {
            checkRequestsDuringStop(path, targetStops);
        }
    }
}

// The same for requests that are passed on late because their bodies end late.
TEST(StoppingNode, cutsOffNoRequestWhoseBodyComesLate)
{
    for (const char *path : {"/", "/book"}) {
        checkLateBodies(path);
    }
}

// Guards against large responses that are taken by the size of earlier, smaller ones and cut off by the stop.
TEST(StoppingNode, cutsOffNoLargeResponseThatItPassesOn)
{
    // At 5 Mbit/s, two of the five responses fit into the stop.
    constexpr int callers = 5;
    std::atomic<bool> large = false;
    const TestTarget target([&](const TestMessage &request, TestSocket &connection) {
        return connection.send(signedResponse(request, std::string(large ? otherExportBytes : 4000, 'x')));
    });
    timeout = 4000ms;
    frontOptions.linkMegabits = 5;
    targetOptions.linkMegabits = 5;
    frontOptions.stopNotice = 1000ms;
    frontOptions.drainBound = 1900ms;
    addTarget(target, "first");
    start();
    for (int i = 0; i < 10; ++i) {
        CHECK_EQUAL(200, call("GET", "/export").status());
    }
    large = true;
    beginStop();
    const int served = countServed(exportUntilStopped(callers, 0ms, *front));
    CHECK_COMPARE(served, >=, 1);
    CHECK_COMPARE(target.requests(), ==, 10 + served);
}

// Guards against requests that were read before the stop, are not passed on, and get no response when the process ends.
TEST(StoppingNode, answersTheRequestsThatWaitWhenItEnds)
{
    const TestTarget target([](const TestMessage &request, TestSocket &connection) {
        std::this_thread::sleep_for(2500ms);
        return connection.send(signedResponse(request, "ok"));
    });
    timeout = 4500ms;
    targetOptions.stopNotice = 300ms;
    targetOptions.drainBound = 1000ms;
    addTarget(target, "first", 1);
    start();
    auto &node = *nodes[0]->server;
    auto running = TestSocket::connectTo(node.localEndpoint());
    running.send(getRequest("/book", "c1"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    auto waiting = TestSocket::connectTo(node.localEndpoint());
    waiting.send(getRequest("/book", "c2"));
    auto unfinished = TestSocket::connectTo(node.localEndpoint());
    unfinished.send("POST /book HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c3\r\nContent-Length: 2\r\n\r\nh");
    CHECK(ProxyFixture::waitUntil([&] { return node.requestsInFlight() == 3; }));
    node.drain([this] { drained = true; });
    for (auto *socket : {&waiting, &unfinished}) {
        const auto it = socket->read();
        CHECK(it.has_value());
        CHECK_EQUAL(503, it->status());
        STRCMP_EQUAL("not-run", it->header("x-hornbeam-outcome").c_str());
    }
    CHECK(!drained);
    CHECK_EQUAL(1, target.requests());
}

// The same for a request that waits at the node of the target while its caller's node stops.
TEST(StoppingNode, answersTheRequestsThatWaitAtAnotherNodeWhenItEnds)
{
    const TestTarget target([](const TestMessage &request, TestSocket &connection) {
        std::this_thread::sleep_for(2500ms);
        return connection.send(signedResponse(request, "ok"));
    });
    timeout = 4500ms;
    frontOptions.stopNotice = 300ms;
    frontOptions.drainBound = 1000ms;
    frontOptions.nodeId = "front";
    addTarget(target, "first", 1);
    start();
    const auto neighbour = startCallerNode({.hostService = "desk", .nodeId = "neighbour"});
    auto running = TestSocket::connectTo(neighbour->server->localEndpoint());
    running.send(getRequest("/book", "c1"));
    CHECK(ProxyFixture::waitUntil([&] { return target.requests() == 1; }));
    auto waiting = TestSocket::connectTo(front->server->localEndpoint());
    waiting.send(getRequest("/book", "c2"));
    CHECK(ProxyFixture::waitUntil([&] { return nodes[0]->server->requestsInFlight() == 2; }));
    // A stop ends with its last request, so that without another one it would end at the moment of the response.
    auto unfinished = TestSocket::connectTo(front->server->localEndpoint());
    unfinished.send("POST /book HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c3\r\nContent-Length: 2\r\n\r\nh");
    CHECK(ProxyFixture::waitUntil([&] { return front->server->requestsInFlight() == 2; }));
    beginStop();
    nodes[0]->server->peerStops("front");
    const auto response = readUntilStopped(waiting);
    CHECK(response.has_value());
    CHECK(answeredBeforeStop);
    CHECK_EQUAL(503, response->status());
    STRCMP_EQUAL("not-run", response->header("x-hornbeam-outcome").c_str());
    CHECK_EQUAL(1, target.requests());
}
