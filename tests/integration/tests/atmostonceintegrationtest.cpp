#include "meshtest.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Base64 of "/hornbeamring/claims/", with which the key of each claim starts in the store's JSON. */
constexpr const char *claimKeyPrefix = "L2hvcm5iZWFtcmluZy9jbGFpbXMv";

/** Base64 of the first key after them. */
constexpr const char *claimKeyEnd = "L2hvcm5iZWFtcmluZy9jbGFpbXMw";

bool isHonestRefusal(const Result<HttpResponse> &response)
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

    /** Retries a booking through all nodes; it must not run again. */
    void retryEverywhere(const std::string &key)
    {
        for (const int node : mesh->allNodes()) {
            const auto response = book(node, key);
            CHECK_TEXT(statusOf(response) == 200 || isHonestRefusal(response), describe(response).c_str());
        }
    }
};

TEST_GROUP_BASE(AtMostOnce, AtMostOnceTest){};

// Guards invariant 6 against a client that sends its booking through two nodes at the same time.
TEST(AtMostOnce, bookingThroughTwoNodesAtOnceRunsOnce)
{
    for (int i = 0; i < 20; ++i) {
        const auto key = "both-" + std::to_string(i);
        auto first = bookLater(0, key, "/slow?ms=20");
        auto second = bookLater(1, key, "/slow?ms=20");
        const auto responses = {first.get(), second.get()};
        for (const auto &response : responses) {
            CHECK_TEXT(statusOf(response) == 200 || isHonestRefusal(response), describe(response).c_str());
        }
        LONGS_EQUAL(1, mesh->executions(key));
        retryEverywhere(key);
        LONGS_EQUAL(1, mesh->executions(key));
    }
}

// Guards invariants 4 and 6: the retry of an executed booking gets the recorded response, not another execution.
TEST(AtMostOnce, repeatedBookingReceivesTheRecordedResponse)
{
    const auto first = book(0, "repeat");
    LONGS_EQUAL(200, statusOf(first));
    Result<HttpResponse> second = makeError(ErrorCode::Unavailable, "");
    const bool answered = waitUntil(patience, [&] {
        second = book(1, "repeat");
        return statusOf(second) == 200;
    });
    CHECK_TEXT(answered, describe(second).c_str());
    STRCMP_EQUAL(first->body.c_str(), second->body.c_str());
    LONGS_EQUAL(1, mesh->executions("repeat"));
}

// Guards invariant 6 against the node process being killed after it sent the booking to a target.
TEST(AtMostOnce, bookingOfANodeKilledAfterSendingIsNotRunAgain)
{
    auto lost = bookLater(0, "killed", "/slow?ms=1000");
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

// Guards invariant 6 against a node that is frozen between its claim and the sending, while the client retries
// through another node, and that continues after its caller's deadline.
TEST(AtMostOnce, bookingOfANodeFrozenBetweenClaimAndSendingRunsAtMostOnce)
{
    CHECK(mesh->addRule({{"kind", "delay"},
                         {"links", {"store"}},
                         {"sources", {mesh->nodeAddress(0)}},
                         {"direction", "backward"},
                         {"delayMs", 400}}));
    auto frozen = bookLater(0, "frozen", {});
    // The store has the claim, but its answer to the node is still delayed.
    CHECK(waitUntil(patience, [&] { return mesh->storedKeys(claimKeyPrefix, claimKeyEnd) > 0; }));
    mesh->processes().freeze(Mesh::nodeName(0));
    const auto retried = book(1, "frozen");
    CHECK_TEXT(statusOf(retried) == 200 || isHonestRefusal(retried), describe(retried).c_str());
    CHECK(mesh->clearRules());
    mesh->processes().wake(Mesh::nodeName(0));
    frozen.get();
    retryEverywhere("frozen");
    CHECK_TEXT(mesh->executions("frozen") <= 1, std::to_string(mesh->executions("frozen")).c_str());
}

// Guards invariant 6 against the store's answer being lost after it wrote the claim: the node must find its own claim.
TEST(AtMostOnce, bookingWhoseClaimAnswerIsLostByAResetRunsOnce)
{
    CHECK(mesh->addRule({{"kind", "dropResponse"},
                         {"links", {"store"}},
                         {"count", 1},
                         {"requestContains", {"/v3/kv/txn", claimKeyPrefix}}}));
    const auto response = book(0, "lost-answer");
    CHECK_TEXT(statusOf(response) == 200 || isHonestRefusal(response), describe(response).c_str());
    const auto executions = mesh->executions("lost-answer");
    CHECK_EQUAL(statusOf(response) == 200 ? 1U : executions, executions);
    retryEverywhere("lost-answer");
    CHECK(mesh->executions("lost-answer") <= 1);
}

// The same with a connection that goes silent instead of being reset.
TEST(AtMostOnce, bookingWhoseClaimAnswerIsLostInSilenceRunsOnce)
{
    CHECK(mesh->addRule({{"kind", "dropResponse"},
                         {"links", {"store"}},
                         {"count", 1},
                         {"afterDrop", "silence"},
                         {"requestContains", {"/v3/kv/txn", claimKeyPrefix}}}));
    const auto response = book(0, "silent-answer");
    CHECK_TEXT(statusOf(response) == 200 || isHonestRefusal(response), describe(response).c_str());
    retryEverywhere("silent-answer");
    CHECK(mesh->executions("silent-answer") <= 1);
}

// Guards invariant 5 against a store outage: a refusal that says "not run" is true, and reads continue.
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

// Guards invariants 5 and 6 against a slow store: whatever the node answers must agree with the executions.
TEST(AtMostOnce, bookingWithASlowStoreRunsOnceOrIsRefusedTruthfully)
{
    CHECK(mesh->controlStore({{"latency_ms", 700}, {"answer_delay_ms", 700}}));
    const auto response = book(0, "store-slow");
    CHECK(mesh->controlStore({{"latency_ms", 0}, {"answer_delay_ms", 0}}));
    if (outcomeOf(response) == "not-run") {
        LONGS_EQUAL(0, mesh->executions("store-slow"));
    }
    CHECK_TEXT(statusOf(response) == 200 || isHonestRefusal(response), describe(response).c_str());
    retryEverywhere("store-slow");
    CHECK(mesh->executions("store-slow") <= 1);
}

// Guards invariant 6 against pooled connections to the targets that have gone silent: the booking uses a fresh one.
TEST(AtMostOnce, bookingWithSilentTargetConnectionsRunsOnceOnAFreshOne)
{
    CHECK(mesh->addRule({{"kind", "silent"}, {"links", {"target-0", "target-1", "target-2"}}}));
    const auto response = book(0, "silent-target");
    CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
    LONGS_EQUAL(1, mesh->executions("silent-target"));
}

// Guards invariant 6 against a target connection that goes silent after the booking ran: no second attempt.
TEST(AtMostOnce, bookingWhoseTargetConnectionGoesSilentAfterTheRunIsNotRunAgain)
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

// Guards invariant 6 for a legacy client that sends a request twice and has no idempotency keys.
TEST(AtMostOnce, legacyBookingSentTwiceWithoutAKeyRunsOnce)
{
    const nlohmann::json route = {{"name", "legacy"},
                                  {"pathPrefix", "/legacy"},
                                  {"service", "vuorolista"},
                                  {"idempotent", false},
                                  {"identity", "content"}};
    const auto added =
        require(mesh->apply(0, {{"operations", nlohmann::json::array({{{"op", "setRoute"}, {"route", route}}})}}));
    CHECK(mesh->waitForVersion(added, mesh->allNodes(), effectBound, "/rota"));
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
    const auto answers = {first.get(), second.get()};
    for (const auto &response : answers) {
        CHECK_TEXT(statusOf(response) == 200 || isHonestRefusal(response), describe(response).c_str());
    }
    LONGS_EQUAL(1, mesh->executions("legacy-booking"));
}
