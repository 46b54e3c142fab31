#include "meshtest.h"

#include <thread>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Delay between a failed response and the caller's next attempt. Crash reports spread within some milliseconds. */
constexpr std::chrono::milliseconds retryDelay{100};

} // namespace

class CrashRequestTest : public MeshTest
{
protected:
    void setup() override
    {
        startMesh({.zones = {"tampere", "turku"}, .nodesPerZone = 3, .targetsThroughProxy = false});
    }
};

TEST_GROUP_BASE(CrashRequest, CrashRequestTest){};

// Guards against a request that crashes every target that executes it. The caller retries through all nodes, slowly
// enough for the crash reports to spread between the attempts.
TEST(CrashRequest, crashingRequestCrashesAtMostTwoTargetsPerZone)
{
    for (int i = 0; i < 4 * mesh->nodeCount(); ++i) {
        HttpRequest request;
        request.url = "/crash?id=1";
        request.timeout = 3s;
        mesh->call(i % mesh->nodeCount(), request);
        std::this_thread::sleep_for(retryDelay);
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
