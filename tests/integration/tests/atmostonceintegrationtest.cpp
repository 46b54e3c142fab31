#include "meshtest.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Base64 of "/hornbeamring/claims/", the prefix of the store keys of the claims on idempotency keys. */
constexpr const char *claimKeyPrefix = "L2hvcm5iZWFtcmluZy9jbGFpbXMv";

/** Base64 of the end of the range of these keys. */
constexpr const char *claimKeyEnd = "L2hvcm5iZWFtcmluZy9jbGFpbXMw";

/** Whether the response is a refusal that states the outcome of the execution. */
bool isRefusalWithOutcome(const Result<HttpResponse> &response)
{
    const auto outcome = outcomeOf(response);
    return outcome == "in-progress" || outcome == "unknown" || outcome == "not-run";
}

} // namespace

class AtMostOnceTest : public MeshTest
{
protected:
    void setup() override
    {
        startMesh({.zones = {"tampere", "turku", "helsinki"}});
    }

    /** Retries a booking through each node and checks that the response has status 200 or states an outcome. */
    void retryEverywhere(const std::string &key)
    {
        for (const int node : mesh->allNodes()) {
            const auto response = book(node, key);
            CHECK_TEXT(statusOf(response) == 200 || isRefusalWithOutcome(response), describe(response).c_str());
        }
    }
};

TEST_GROUP_BASE(AtMostOnce, AtMostOnceTest){};

// Guards against a double execution when a client sends the same booking through two nodes at the same time.
TEST(AtMostOnce, bookingThroughTwoNodesAtOnceRunsOnce)
{
    for (int i = 0; i < 20; ++i) {
        const auto key = "both-" + std::to_string(i);
        auto first = bookAsync(0, key, "/slow?ms=20");
        auto second = bookAsync(1, key, "/slow?ms=20");
        const auto responses = {first.get(), second.get()};
        for (const auto &response : responses) {
            CHECK_TEXT(statusOf(response) == 200 || isRefusalWithOutcome(response), describe(response).c_str());
        }
        LONGS_EQUAL(1, mesh->executions(key));
        retryEverywhere(key);
        LONGS_EQUAL(1, mesh->executions(key));
    }
}

// Guards against a retry that executes a completed booking again instead of returning the recorded response.
TEST(AtMostOnce, repeatedBookingReceivesTheRecordedResponse)
{
    const auto first = book(0, "repeat");
    LONGS_EQUAL(200, statusOf(first));
    Result<HttpResponse> second = makeError(ErrorCode::Unavailable, "");
    const bool answered = waitUntil(waitTimeout, [&] {
        second = book(1, "repeat");
        return statusOf(second) == 200;
    });
    CHECK_TEXT(answered, describe(second).c_str());
    STRCMP_EQUAL(first->body.c_str(), second->body.c_str());
    LONGS_EQUAL(1, mesh->executions("repeat"));
}

// Guards against a double execution after a node is killed: it has forwarded the booking to a target, so that retries
// through the other nodes find a claim without a recorded response.
TEST(AtMostOnce, bookingForwardedByAKilledNodeIsNotRunAgain)
{
    auto lost = bookAsync(0, "killed", "/slow?ms=1000");
    CHECK(waitForExecutions("killed", 1));
    mesh->processes().kill(Mesh::nodeName(0));
    CHECK_FALSE(lost.get().has_value());
    for (const int node : {1, 2}) {
        const auto response = book(node, "killed");
        CHECK_TEXT(outcomeOf(response) == "unknown" || outcomeOf(response) == "in-progress",
                   describe(response).c_str());
    }
    require(mesh->startNode(0));
    CHECK(bookUntilServed(0, "after-restart"));
    retryEverywhere("killed");
    LONGS_EQUAL(1, mesh->executions("killed"));
}

// Guards against a double execution by a node that is paused after it wrote the claim and before it forwards the
// booking. The client retries through another node meanwhile, and the first node resumes after its caller's deadline.
TEST(AtMostOnce, bookingOfANodePausedBetweenClaimAndForwardingRunsAtMostOnce)
{
    CHECK(mesh->addRule({{"kind", "delay"},
                         {"links", {"store"}},
                         {"sources", {mesh->nodeAddress(0)}},
                         {"direction", "backward"},
                         {"delayMs", 400}}));
    auto paused = bookAsync(0, "paused", {});
    // The store has written the claim, but its response to the node is still delayed.
    CHECK(waitUntil(waitTimeout, [&] { return mesh->storedKeyCount(claimKeyPrefix, claimKeyEnd) > 0; }));
    mesh->processes().pause(Mesh::nodeName(0));
    const auto retried = book(1, "paused");
    CHECK_TEXT(statusOf(retried) == 200 || isRefusalWithOutcome(retried), describe(retried).c_str());
    CHECK(mesh->clearRules());
    mesh->processes().resume(Mesh::nodeName(0));
    paused.get();
    retryEverywhere("paused");
    CHECK_TEXT(mesh->executions("paused") <= 1, std::to_string(mesh->executions("paused")).c_str());
}

// Guards against a double or falsely reported execution when the connection to the store is reset after the store wrote
// the claim and before the node received the response. The node must recognise the claim as its own.
TEST(AtMostOnce, bookingWhoseClaimResponseIsLostByAResetRunsAtMostOnce)
{
    CHECK(mesh->addRule({{"kind", "dropResponse"},
                         {"links", {"store"}},
                         {"count", 1},
                         {"requestContains", {"/v3/kv/txn", claimKeyPrefix}}}));
    const auto response = book(0, "lost-answer");
    CHECK_TEXT(statusOf(response) == 200 || isRefusalWithOutcome(response), describe(response).c_str());
    const auto executions = mesh->executions("lost-answer");
    CHECK_EQUAL(statusOf(response) == 200 ? 1U : executions, executions);
    retryEverywhere("lost-answer");
    CHECK(mesh->executions("lost-answer") <= 1);
}

// Guards against the same failure when the connection to the store stays open but delivers no more bytes.
TEST(AtMostOnce, bookingWhoseClaimResponseIsLostOnAStalledConnectionRunsAtMostOnce)
{
    CHECK(mesh->addRule({{"kind", "dropResponse"},
                         {"links", {"store"}},
                         {"count", 1},
                         {"afterDrop", "silence"},
                         {"requestContains", {"/v3/kv/txn", claimKeyPrefix}}}));
    const auto response = book(0, "silent-answer");
    CHECK_TEXT(statusOf(response) == 200 || isRefusalWithOutcome(response), describe(response).c_str());
    retryEverywhere("silent-answer");
    CHECK(mesh->executions("silent-answer") <= 1);
}

// Guards against failed reads during a store outage, and against a booking that is refused as "not-run" but executed.
TEST(AtMostOnce, bookingWhileTheStoreIsDownIsRefusedAndHasNotRun)
{
    CHECK(mesh->controlStore({{"down", true}}));
    for (const int node : mesh->allNodes()) {
        const auto refused = book(node, "store-down");
        LONGS_EQUAL(503, statusOf(refused));
        STRCMP_EQUAL("not-run", outcomeOf(refused).c_str());
        LONGS_EQUAL(200, statusOf(read(node)));
    }
    LONGS_EQUAL(0, mesh->executions("store-down"));
    CHECK(mesh->controlStore({{"down", false}}));
    CHECK(bookUntilServed(0, "store-down"));
    LONGS_EQUAL(1, mesh->executions("store-down"));
}

// Guards against a response that contradicts the executions, or a double execution, when store calls are slow enough to
// time out.
TEST(AtMostOnce, bookingWithASlowStoreRunsAtMostOnceAndItsResponseIsCorrect)
{
    CHECK(mesh->controlStore({{"latency_ms", 700}, {"answer_delay_ms", 700}}));
    const auto response = book(0, "store-slow");
    CHECK(mesh->controlStore({{"latency_ms", 0}, {"answer_delay_ms", 0}}));
    if (outcomeOf(response) == "not-run") {
        LONGS_EQUAL(0, mesh->executions("store-slow"));
    }
    CHECK_TEXT(statusOf(response) == 200 || isRefusalWithOutcome(response), describe(response).c_str());
    retryEverywhere("store-slow");
    CHECK(mesh->executions("store-slow") <= 1);
}

// Guards against a booking that is lost on a pooled target connection that is still open but delivers no more bytes; it
// must run on a new connection.
TEST(AtMostOnce, bookingRunsOnANewConnectionWhenPooledTargetConnectionsAreStalled)
{
    CHECK(mesh->addRule({{"kind", "silent"}, {"links", {"target-0", "target-1", "target-2"}}}));
    const auto response = book(0, "silent-target");
    CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
    LONGS_EQUAL(1, mesh->executions("silent-target"));
}

// Guards against a second attempt when the target executed the booking, but its response is lost because the connection
// delivers no more bytes.
TEST(AtMostOnce, bookingWhoseTargetConnectionStallsAfterExecutionIsNotRunAgain)
{
    CHECK(mesh->addRule({{"kind", "dropResponse"},
                         {"links", {"target-0", "target-1", "target-2"}},
                         {"afterDrop", "silence"},
                         {"requestContains", {"Idempotency-Key: silent-run"}}}));
    const auto response = book(0, "silent-run");
    STRCMP_EQUAL("unknown", outcomeOf(response).c_str());
    CHECK(mesh->clearRules());
    retryEverywhere("silent-run");
    LONGS_EQUAL(1, mesh->executions("silent-run"));
}

// Guards against a double execution for a legacy client that sends a request twice without an idempotency key; the
// route identifies requests by their content.
TEST(AtMostOnce, legacyBookingSentTwiceWithoutAKeyRunsOnce)
{
    const nlohmann::json route = {{"name", "legacy"},
                                  {"pathPrefix", "/legacy"},
                                  {"service", "vuorolista"},
                                  {"idempotent", false},
                                  {"identity", "content"}};
    const auto added =
        require(mesh->apply(0, {{"operations", nlohmann::json::array({{{"op", "setRoute"}, {"route", route}}})}}));
    CHECK(mesh->waitForVersion(added, mesh->allNodes(), convergenceBound, "/rota"));
    const auto send = [&](int node) {
        HttpRequest request;
        request.method = "POST";
        request.url = "/legacy/slots";
        request.headers = {"X-Request-Id: legacy-booking"};
        request.body = "household=12&slot=7";
        return mesh->call(node, request);
    };
    auto first = std::async(std::launch::async, send, 0);
    auto second = std::async(std::launch::async, send, 1);
    const auto responses = {first.get(), second.get()};
    for (const auto &response : responses) {
        CHECK_TEXT(statusOf(response) == 200 || isRefusalWithOutcome(response), describe(response).c_str());
    }
    LONGS_EQUAL(1, mesh->executions("legacy-booking"));
}
