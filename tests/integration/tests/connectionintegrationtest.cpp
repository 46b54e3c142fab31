#include "meshtest.h"

using namespace Hornbeam;
using namespace std::chrono_literals;
using Json = nlohmann::json;

class ConnectionTest : public MeshTest
{
protected:
    void setup() override
    {
        startMesh({.zones = {"tampere", "turku"}, .nodesPerZone = 2});
    }
};

TEST_GROUP_BASE(Connection, ConnectionTest){};

// Guards against pooled target connections that have gone silent: reads are answered within their deadline.
TEST(Connection, readsWithSilentTargetConnectionsAreAnswered)
{
    CHECK(mesh->addRule({{"kind", "silent"}, {"links", {"target-0", "target-1", "target-2", "target-3"}}}));
    for (const int node : mesh->allNodes()) {
        const auto response = read(node);
        CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
    }
}

// Guards against connections between nodes that are cut: the next versions arrive over new ones.
TEST(Connection, confirmReachesEveryNodeAfterAllConnectionsWereCut)
{
    CHECK(mesh->addRule({{"kind", "cut"}}));
    CHECK(mesh->clearRules());
    Result<std::uint64_t> confirmed = makeError(ErrorCode::Unavailable, "not tried");
    CHECK(waitUntil(patience, [&] {
        confirmed = mesh->apply(0, routeIntent("vuorolista", "after-cut"));
        return confirmed.has_value();
    }));
    CHECK(mesh->waitForVersion(*confirmed, mesh->allNodes(), effectBound, "/rota"));
}

// Guards invariant 4: a truncated response never looks complete to the caller.
TEST(Connection, truncatedResponseIsNeverDeliveredAsComplete)
{
    for (const char *path : {"/truncate", "/truncate?chunked=1"}) {
        HttpRequest request;
        request.url = path;
        const auto response = mesh->call(0, request);
        CHECK_TEXT(!response || response->status >= 500, describe(response).c_str());
    }
}

// Guards invariant 4: answers of slow and fast requests at the same time reach their own callers.
TEST(Connection, concurrentRequestsReceiveTheirOwnAnswers)
{
    std::vector<std::future<bool>> running;
    for (int i = 0; i < 40; ++i) {
        running.push_back(std::async(std::launch::async, [this, i] {
            const auto id = "own-" + std::to_string(i);
            const auto response = readAs(i % mesh->nodeCount(), id, "/slow?ms=" + std::to_string(i * 7 % 50));
            return statusOf(response) == 200 && response->body.find('"' + id + '"') != std::string::npos;
        }));
    }
    for (auto &answer : running) {
        CHECK(answer.get());
    }
}

// Guards invariants 1 and 9 against all nodes being killed and started at once.
TEST(Connection, herdRestartServesTheConfirmedVersionAgain)
{
    nextVersion(0);
    for (const int node : mesh->allNodes()) {
        mesh->processes().kill(Mesh::nodeName(node));
    }
    for (const int node : mesh->allNodes()) {
        require(mesh->startNode(node));
    }
    CHECK(mesh->waitForVersion(version, mesh->allNodes(), patience, "/rota"));
    CHECK(waitForTargets(mesh->allNodes(), allTargets()));
}
