#include "meshtest.h"
#include "versionmonitor.h"

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

// Guards against reads that time out on pooled target connections that are still open but deliver no more bytes.
TEST(Connection, readsSucceedWhenPooledTargetConnectionsAreStalled)
{
    CHECK(mesh->addRule({{"kind", "silent"}, {"links", {"target-0", "target-1", "target-2", "target-3"}}}));
    for (const int node : mesh->allNodes()) {
        const auto response = read(node);
        CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
    }
}

// Guards against changes that do not spread after every connection through the fault proxy was reset; the nodes must
// open new ones.
TEST(Connection, changeReachesEveryNodeAfterAllConnectionsWereReset)
{
    CHECK(mesh->addRule({{"kind", "cut"}}));
    CHECK(mesh->clearRules());
    Result<std::uint64_t> confirmed = makeError(ErrorCode::Unavailable, "not attempted");
    CHECK(waitUntil(waitTimeout, [&] {
        confirmed = mesh->apply(0, routeIntent("vuorolista", "after-cut"));
        return confirmed.has_value();
    }));
    CHECK(mesh->waitForVersion(*confirmed, mesh->allNodes(), convergenceBound, "/rota"));
}

// Guards against a response that the target truncated and the node passes on as if it were complete.
TEST(Connection, truncatedResponseIsNeverDeliveredAsComplete)
{
    for (const char *path : {"/truncate", "/truncate?chunked=1"}) {
        HttpRequest request;
        request.url = path;
        const auto response = mesh->call(0, request);
        CHECK_TEXT(!response || response->status >= 500, describe(response).c_str());
    }
}

// Guards against a response that reaches the caller of another request, with slow and fast requests in flight together.
TEST(Connection, concurrentRequestsReceiveTheirOwnResponses)
{
    std::vector<std::future<bool>> running;
    for (int i = 0; i < 40; ++i) {
        running.push_back(std::async(std::launch::async, [this, i] {
            const auto id = "own-" + std::to_string(i);
            const auto response =
                readWithRequestId(i % mesh->nodeCount(), id, "/slow?ms=" + std::to_string(i * 7 % 50));
            return statusOf(response) == 200 && response->body.find('"' + id + '"') != std::string::npos;
        }));
    }
    for (auto &received : running) {
        CHECK(received.get());
    }
}

// Guards against nodes that serve an older version, or none, after all nodes were killed and started again together, so
// that no running node has the current version.
TEST(Connection, simultaneousRestartOfAllNodesServesTheConfirmedVersion)
{
    createVersion(0);
    for (const int node : mesh->allNodes()) {
        mesh->processes().kill(Mesh::nodeName(node));
    }
    std::vector<std::unique_ptr<VersionMonitor>> monitors;
    for (const int node : mesh->allNodes()) {
        monitors.push_back(std::make_unique<VersionMonitor>(*mesh, node, version));
    }
    for (const int node : mesh->allNodes()) {
        require(mesh->startNode(node));
    }
    CHECK(mesh->waitForVersion(version, mesh->allNodes(), waitTimeout, "/rota"));
    for (const auto &monitor : monitors) {
        CHECK_TEXT(!monitor->regressed(), std::to_string(monitor->regressedVersion()).c_str());
    }
    CHECK(waitForTargets(mesh->allNodes(), allTargets()));
}
