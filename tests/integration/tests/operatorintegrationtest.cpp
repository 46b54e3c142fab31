#include "meshtest.h"

using namespace Hornbeam;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

/** Base64 of "/hornbeamring/config/", the prefix of the store key of the configuration head. */
constexpr const char *configKeyPrefix = "L2hvcm5iZWFtcmluZy9jb25maWcv";

} // namespace

class OperatorTest : public MeshTest
{
protected:
    void setup() override
    {
        startMesh({.zones = {"tampere", "turku"}, .nodesPerZone = 1});
    }

    std::string makePlan(int node, const std::string &route)
    {
        const auto planned = mesh->plan(node, routeIntent("vuorolista", route));
        CHECK_TEXT(planned.status / 100 == 2, planned.body.dump().c_str());
        return planned.body["id"].get<std::string>();
    }

    std::future<PlanResult> confirmAsync(int node, const std::string &plan)
    {
        return std::async(std::launch::async, [this, node, plan] { return mesh->confirm(node, plan); });
    }

    Json currentConfig(int node)
    {
        HttpRequest request;
        request.url = "/v1/config";
        const auto response = mesh->callAdmin(node, request);
        LONGS_EQUAL(200, statusOf(response));
        return Json::parse(response->body);
    }

    std::uint64_t currentVersion(int node)
    {
        return currentConfig(node)["version"].get<std::uint64_t>();
    }

    bool hasRoute(int node, const std::string &name)
    {
        const auto config = currentConfig(node);
        for (const auto &route : config["routes"]) {
            if (route["name"] == name) {
                return true;
            }
        }
        return false;
    }
};

TEST_GROUP_BASE(Operator, OperatorTest){};

// Guards against a lost update when two operators confirm plans for the same base version through two nodes at the same
// time: the second must get a conflict.
TEST(Operator, ofTwoConcurrentConfirmsOneIsAcceptedAndTheOtherConflicts)
{
    for (int i = 0; i < 5; ++i) {
        const auto before = version;
        const auto name = "race-" + std::to_string(i);
        const auto first = makePlan(0, name + "-a");
        const auto second = makePlan(1, name + "-b");
        auto running = confirmAsync(0, first);
        const auto secondResult = mesh->confirm(1, second);
        const auto firstResult = running.get();
        const auto &accepted = firstResult.status == 200 ? firstResult : secondResult;
        const auto &refused = firstResult.status == 200 ? secondResult : firstResult;
        LONGS_EQUAL(200, accepted.status);
        LONGS_EQUAL_TEXT(409, refused.status, refused.body.dump().c_str());
        version = accepted.body["version"].get<std::uint64_t>();
        LONGS_EQUAL(before + 1, version);
        CHECK(mesh->waitForVersion(version, mesh->allNodes(), convergenceBound, "/rota"));
        CHECK(hasRoute(0, name + "-a") != hasRoute(0, name + "-b"));
    }
}

// Guards against a second version when an operator repeats a confirm whose response was lost.
TEST(Operator, repeatedConfirmReturnsTheSameVersion)
{
    const auto plan = makePlan(0, "repeated");
    const auto first = mesh->confirm(0, plan);
    const auto second = mesh->confirm(1, plan);
    LONGS_EQUAL(200, first.status);
    LONGS_EQUAL_TEXT(200, second.status, second.body.dump().c_str());
    LONGS_EQUAL(first.body["version"].get<int>(), second.body["version"].get<int>());
    LONGS_EQUAL(version + 1, first.body["version"].get<std::uint64_t>());
}

// Guards against a confirm that is lost or applied twice when the connection to the store is reset after the write and
// before the response.
TEST(Operator, confirmWhoseStoreResponseIsLostTakesEffectOnce)
{
    const auto plan = makePlan(0, "lost-answer");
    CHECK(mesh->addRule({{"kind", "dropResponse"},
                         {"links", {"store"}},
                         {"count", 1},
                         {"requestContains", {"/v3/kv/txn", configKeyPrefix}}}));
    auto result = mesh->confirm(0, plan);
    if (result.status != 200) {
        // The node may report that the outcome is unknown; repeating the confirm then resolves it.
        waitUntil(waitTimeout, [&] {
            result = mesh->confirm(0, plan);
            return result.status == 200;
        });
    }
    LONGS_EQUAL_TEXT(200, result.status, result.body.dump().c_str());
    LONGS_EQUAL(version + 1, result.body["version"].get<std::uint64_t>());
    CHECK(mesh->waitForVersion(version + 1, mesh->allNodes(), convergenceBound, "/rota"));
    LONGS_EQUAL(version + 1, currentVersion(1));
}

// Guards against a plan or confirm that is accepted during a store outage, and against a node that then stops serving.
TEST(Operator, confirmWhileTheStoreIsDownIsRefusedAndChangesNothing)
{
    const auto plan = makePlan(0, "store-down");
    CHECK(mesh->controlStore({{"down", true}}));
    LONGS_EQUAL(503, mesh->confirm(0, plan).status);
    LONGS_EQUAL(503, mesh->plan(1, routeIntent("vuorolista", "other")).status);
    LONGS_EQUAL(version, mesh->versionIfSuccessful(0, "/rota"));
    CHECK(mesh->controlStore({{"down", false}}));
    PlanResult result;
    waitUntil(waitTimeout, [&] {
        result = mesh->confirm(0, plan);
        return result.status == 200;
    });
    LONGS_EQUAL_TEXT(200, result.status, result.body.dump().c_str());
    CHECK(mesh->waitForVersion(version + 1, mesh->allNodes(), convergenceBound, "/rota"));
}

// Guards against a confirmed change that is lost because the node that confirmed it is killed right after its response.
TEST(Operator, changeConfirmedThroughANodeThatIsKilledReachesTheOtherNodes)
{
    createVersion(1);
    mesh->processes().kill(Mesh::nodeName(1));
    CHECK(mesh->waitForVersion(version, {0}, convergenceBound, "/rota"));
}

// Guards against the removal of a service that a route still refers to.
TEST(Operator, removalOfAServiceThatARouteNeedsIsRefused)
{
    const auto planned =
        mesh->plan(0, {{"operations", Json::array({{{"op", "removeService"}, {"name", "vuorolista"}}})}});
    if (planned.status / 100 == 2) {
        const auto confirmed = mesh->confirm(0, planned.body["id"].get<std::string>());
        CHECK_TEXT(confirmed.status >= 400, confirmed.body.dump().c_str());
    }
    LONGS_EQUAL(version, currentVersion(0));
    LONGS_EQUAL(200, statusOf(read(0)));
}
