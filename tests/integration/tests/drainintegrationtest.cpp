#include "meshtest.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t exportBytes = 8000000;
constexpr std::int64_t exportBytesPerSecond = 3000000; ///< At this rate the export takes more than two seconds.

/** The response body that the target stand-in sends for an export. */
std::string expectedExport()
{
    std::string bytes(exportBytes, '\0');
    for (std::size_t i = 0; i < exportBytes; ++i) {
        bytes[i] = static_cast<char>('a' + i % 26);
    }
    return bytes;
}

} // namespace

class DrainTest : public MeshTest
{
protected:
    void setup() override
    {
        // A node prefers the targets of its zone, so each zone has a second target that can take over.
        startMesh({.zones = {"tampere", "turku"}, .nodesPerZone = 2, .targetArguments = {"--leave-ms", "3000"}});
    }

    std::future<Result<HttpResponse>> startExport(int node)
    {
        HttpRequest request;
        request.url = "/export?bytes=" + std::to_string(exportBytes);
        request.headers = {"X-Request-Id: export"};
        request.maxBytesPerSecond = exportBytesPerSecond;
        request.timeout = 25s;
        auto result = std::async(std::launch::async, [this, node, request] { return mesh->call(node, request); });
        CHECK(waitForExecutions("export", 1));
        return result;
    }

    void checkExport(std::future<Result<HttpResponse>> &running)
    {
        const auto response = running.get();
        CHECK_TEXT(statusOf(response) == 200, response ? "" : response.error().message().c_str());
        CHECK_TEXT(response->body == expectedExport(), std::to_string(response->body.size()).c_str());
    }

    /** The target that executes the export, or -1. */
    int exportTarget()
    {
        for (const int target : allTargets()) {
            if (mesh->targetStats(target)["executions"].value("export", 0) > 0) {
                return target;
            }
        }
        return -1;
    }

    /** Sends reads through all nodes and returns how many of them the target executed. */
    std::uint64_t sendReads(int target, const std::string &requestId)
    {
        for (int i = 0; i < 20; ++i) {
            for (const int node : mesh->allNodes()) {
                const auto response = readWithRequestId(node, requestId);
                CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
            }
        }
        return mesh->targetStats(target)["executions"].value(requestId, std::uint64_t(0));
    }

    /** Checks that a target receives no new requests later than 3 s after it started to leave. */
    void checkReceivesNoNewRequests(int target, const Stopwatch &sinceLeaving)
    {
        int batch = 0;
        const bool idle =
            waitUntil(waitTimeout, [&] { return sendReads(target, "leaving-" + std::to_string(batch++)) == 0; });
        CHECK(idle);
        CHECK_TEXT(sinceLeaving.elapsed() <= convergenceBound,
                   ("the target received new requests until " + std::to_string(sinceLeaving.elapsed().count()) + " ms")
                       .c_str());
        LONGS_EQUAL(0, sendReads(target, "later"));
    }
};

TEST_GROUP_BASE(Drain, DrainTest){};

// Guards against new requests to a target more than 3 s after an operator has marked it as leaving.
TEST(Drain, targetMarkedAsLeavingReceivesNoNewRequestsAfter3Seconds)
{
    const auto address = mesh->advertisedTarget(0).toString();
    require(mesh->apply(0, {{"operations", nlohmann::json::array({{{"op", "markLeaving"}, {"target", address}}})}}));
    const Stopwatch sinceLeaving;
    checkReceivesNoNewRequests(0, sinceLeaving);
}

// Guards against failed reads while a target shuts down on SIGTERM, and against new requests to it after 3 s.
TEST(Drain, targetStoppedBySigtermReceivesNoNewRequestsAfter3Seconds)
{
    mesh->processes().terminate(Mesh::targetName(0));
    const Stopwatch sinceLeaving;
    int batch = 0;
    const bool idle = waitUntil(waitTimeout, [&] {
        const auto key = "leaving-" + std::to_string(batch++);
        for (int i = 0; i < 20; ++i) {
            const auto response = readWithRequestId(i % mesh->nodeCount(), key);
            CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
        }
        const auto after = mesh->targetStats(0);
        return !after.is_object() || after["executions"].value(key, 0) == 0;
    });
    CHECK(idle);
    CHECK(sinceLeaving.elapsed() <= convergenceBound);
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::targetName(0), waitTimeout).value_or(-1));
}

// Guards against a node that shuts down on SIGTERM and truncates a long response that it is relaying.
TEST(Drain, exportInFlightSurvivesSigtermToItsNode)
{
    auto running = startExport(0);
    mesh->processes().terminate(Mesh::nodeName(0));
    checkExport(running);
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::nodeName(0), waitTimeout).value_or(-1));
}

// Guards against a node that shuts down on SIGTERM and aborts a booking that a target is executing.
TEST(Drain, bookingInFlightSurvivesSigtermToItsNode)
{
    auto running = bookAsync(0, "drained", "/slow?ms=700");
    CHECK(waitForExecutions("drained", 1));
    mesh->processes().terminate(Mesh::nodeName(0));
    const auto response = running.get();
    CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::nodeName(0), waitTimeout).value_or(-1));
    LONGS_EQUAL(1, mesh->executions("drained"));
}

// Guards against a truncated response when a target receives SIGTERM while it sends a long response.
TEST(Drain, exportInFlightSurvivesSigtermToItsTarget)
{
    auto running = startExport(0);
    const int target = exportTarget();
    mesh->processes().terminate(Mesh::targetName(target));
    checkExport(running);
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::targetName(target), waitTimeout).value_or(-1));
}

// Guards against a truncated export when the node on the target's host receives SIGTERM, while the export goes through
// a node on another host.
TEST(Drain, exportThroughAnotherNodeSurvivesSigtermToTheNodeOnTheTargetsHost)
{
    // Node 0 relays the export and keeps running: if its own target executes the export, node 2 is stopped instead.
    auto running = startExport(0);
    const int target = exportTarget();
    const int stopped = target == 0 ? 2 : target;
    mesh->processes().terminate(Mesh::nodeName(stopped));
    checkExport(running);
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::nodeName(stopped), waitTimeout).value_or(-1));
}
