#include "crashreportforwarder.h"
#include "routingpublisher.h"
#include "simulatednetwork.h"

#include <hornbeam/dissemination/snapshotholder.h>
#include <hornbeam/membership/targetregistry.h>
#include <hornbeam/proxy/crashquarantine.h>
#include <hornbeam/store/manualexecutor.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** The parts of a node that handle crash reports, on a simulated network. */
struct ReportingNode
{
    explicit ReportingNode(SimulatedNode &simulated)
        : targets(simulated.timers, [](const std::vector<Target> &) {})
        , publisher({.executor = publications,
                     .timers = simulated.timers,
                     .configuration = configuration,
                     .members = simulated.table,
                     .quarantine = quarantine})
        , forwarder({.executor = executor,
                     .timers = simulated.timers,
                     .quarantine = quarantine,
                     .detector = *simulated.detector,
                     .publisher = publisher,
                     .targets = targets})
    {
        simulated.detector->subscribeRumors([this](const Rumor &it) { forwarder.rumorReceived(it); });
    }

    ManualExecutor executor;
    ManualExecutor publications; ///< Not run: nothing is published without a proxy.
    MetricsRegistry metrics;
    SnapshotHolder configuration{metrics};
    CrashQuarantine quarantine{{}};
    TargetRegistry targets;
    RoutingPublisher publisher;
    CrashReportForwarder forwarder;
};

} // namespace

TEST_GROUP(CrashReportForwarder)
{
    SimulatedNetwork network;
    std::vector<std::unique_ptr<ReportingNode>> nodes;
    const Digest page = Digest::of("page");

    void setup() override
    {
        network.makeCluster(3);
        for (const auto &simulated : network.nodes) {
            nodes.push_back(std::make_unique<ReportingNode>(*simulated));
        }
    }

    void run(Duration time)
    {
        for (const auto &node : nodes) {
            node->executor.run();
        }
        network.time.advance(time);
    }

    /** A target on the host of node @p i crashes while it runs the page. */
    void crashAt(std::size_t i)
    {
        nodes[i]->forwarder.targetCrashed(page, Endpoint("127.0.0.1", static_cast<std::uint16_t>(9000 + i)));
        run(1s);
    }

    std::size_t quarantines()
    {
        std::size_t n = 0;
        for (const auto &node : nodes) {
            n += node->quarantine.quarantined(network.time.now()).size();
        }
        return n;
    }
};

// Guards against a page that is refused on most nodes for minutes, because two targets crashed for other reasons while
// they ran it, although it was served on another node in between.
TEST(CrashReportForwarder, successOnAnyNodeClearsASuspectOnAllNodes)
{
    crashAt(0);
    nodes[2]->forwarder.requestSucceeded(page);
    run(1s);
    crashAt(1);
    CHECK_EQUAL(0, quarantines());
}

// Guards against a request that crashes the only target, or the one on its caller's host, without end: copies of the
// first report must not hide the later ones.
TEST(CrashReportForwarder, quarantinesAfterThreeCrashesOfOneTarget)
{
    crashAt(0);
    crashAt(0);
    CHECK_EQUAL(0, quarantines());
    crashAt(0);
    CHECK_EQUAL(3, quarantines());
}

// Guards against a request that crashes one target after the other.
TEST(CrashReportForwarder, quarantinesOnAllNodesAfterCrashesOnTwo)
{
    crashAt(0);
    CHECK_EQUAL(0, quarantines());
    crashAt(1);
    CHECK_EQUAL(3, quarantines());
}
