#include "meshtest.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t exportBytes = 8000000;
constexpr std::int64_t exportBytesPerSecond = 3000000; ///< The export so takes more than two seconds.

/** The content that the target stand-in sends for an export. */
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
        // A node prefers the targets of its zone, so each zone has a second one.
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

    /** The target that runs the export. */
    int exportTarget()
    {
        for (const int target : allTargets()) {
            if (mesh->targetStats(target)["executions"].value("export", 0) > 0) {
                return target;
            }
        }
        return -1;
    }

    /** Sends reads through all nodes and returns how many of them the target ran. */
    std::uint64_t sendReads(int target, const std::string &requestId)
    {
        for (int i = 0; i < 20; ++i) {
            for (const int node : mesh->allNodes()) {
                const auto response = readAs(node, requestId);
                CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
            }
        }
        return mesh->targetStats(target)["executions"].value(requestId, std::uint64_t(0));
    }

    /** Checks that a target gets no new requests from 3 s after it started to leave. */
    void checkReceivesNothingNew(int target, const Stopwatch &sinceLeaving)
    {
        int batch = 0;
        const bool idle =
            waitUntil(patience, [&] { return sendReads(target, "leaving-" + std::to_string(batch++)) == 0; });
        CHECK(idle);
        CHECK_TEXT(sinceLeaving.elapsed() <= effectBound,
                   ("new work until " + std::to_string(sinceLeaving.elapsed().count()) + " ms").c_str());
        LONGS_EQUAL(0, sendReads(target, "later"));
    }
};

TEST_GROUP_BASE(Drain, DrainTest){};

// Guards invariant 7 for a target that an operator takes out of service.
TEST(Drain, targetMarkedAsLeavingReceivesNothingNewWithin3Seconds)
{
    const auto address = mesh->advertisedTarget(0).toString();
    require(mesh->apply(0, {{"operations", nlohmann::json::array({{{"op", "markLeaving"}, {"target", address}}})}}));
    const Stopwatch sinceLeaving;
    checkReceivesNothingNew(0, sinceLeaving);
}

// Guards invariants 7 and 8 for a target that leaves by itself: every read is answered, none by it after 3 s.
TEST(Drain, targetStoppedBySigtermReceivesNothingNewWithin3Seconds)
{
    mesh->processes().terminate(Mesh::targetName(0));
    const Stopwatch sinceLeaving;
    int batch = 0;
    const bool idle = waitUntil(patience, [&] {
        const auto key = "leaving-" + std::to_string(batch++);
        for (int i = 0; i < 20; ++i) {
            const auto response = readAs(i % mesh->nodeCount(), key);
            CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
        }
        const auto after = mesh->targetStats(0);
        return !after.is_object() || after["executions"].value(key, 0) == 0;
    });
    CHECK(idle);
    CHECK(sinceLeaving.elapsed() <= effectBound);
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::targetName(0), patience).value_or(-1));
}

// Guards invariants 4 and 8 against the planned stop of a node with a long export in flight.
TEST(Drain, sigtermOnANodeCutsOffNoExport)
{
    auto running = startExport(0);
    mesh->processes().terminate(Mesh::nodeName(0));
    checkExport(running);
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::nodeName(0), patience).value_or(-1));
}

// The same for a booking that runs when its node is stopped.
TEST(Drain, sigtermOnANodeCutsOffNoBooking)
{
    auto running = bookLater(0, "drained", "/slow?ms=700");
    CHECK(waitForExecutions("drained", 1));
    mesh->processes().terminate(Mesh::nodeName(0));
    const auto response = running.get();
    CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::nodeName(0), patience).value_or(-1));
    LONGS_EQUAL(1, mesh->executions("drained"));
}

// Guards invariants 4 and 8 against the planned stop of a target with a long export in flight.
TEST(Drain, sigtermOnATargetCutsOffNoExport)
{
    auto running = startExport(0);
    const int target = exportTarget();
    mesh->processes().terminate(Mesh::targetName(target));
    checkExport(running);
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::targetName(target), patience).value_or(-1));
}

// Guards invariant 8 against the node on a target's host being stopped: the host's target keeps its running export.
TEST(Drain, sigtermOnTheNodeOfTheTargetsHostCutsOffNoExportThroughAnotherNode)
{
    // The export runs through a node of the other zone's host or of the same zone, never through the stopped one.
    auto running = startExport(0);
    const int target = exportTarget();
    const int stopped = target == 0 ? 2 : target;
    mesh->processes().terminate(Mesh::nodeName(stopped));
    checkExport(running);
    LONGS_EQUAL(0, mesh->processes().waitForExit(Mesh::nodeName(stopped), patience).value_or(-1));
}
