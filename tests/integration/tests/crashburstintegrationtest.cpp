#include "meshtest.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

class CrashBurstTest : public MeshTest
{
protected:
    void setup() override
    {
        startMesh({.zones = {"tampere", "turku"}, .nodesPerZone = 3, .targetsThroughProxy = false});
    }
};

TEST_GROUP_BASE(CrashBurst, CrashBurstTest){};

// Guards against a request that crashes every target that executes it. The caller retries without a delay through all
// nodes, faster than the crash reports spread.
TEST(CrashBurst, crashingRequestCrashesAtMostTwoTargetsPerZone)
{
    for (int i = 0; i < 4 * mesh->nodeCount(); ++i) {
        HttpRequest request;
        request.url = "/crash?id=1";
        request.timeout = 3s;
        mesh->call(i % mesh->nodeCount(), request);
    }
    for (const char *zone : {"tampere", "turku"}) {
        const int crashed = stoppedTargetCount(mesh->nodesIn(zone));
        CHECK_TEXT(crashed <= 2, (std::to_string(crashed) + " targets crashed in " + zone).c_str());
    }
    for (const int node : mesh->allNodes()) {
        Result<HttpResponse> response = makeError(ErrorCode::Unavailable, "");
        waitUntil(waitTimeout, [&] {
            response = read(node);
            return statusOf(response) == 200;
        });
        CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
    }
}
