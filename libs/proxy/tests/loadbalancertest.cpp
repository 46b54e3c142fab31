#include "loadbalancer.h"
#include "linkpacer.h"
#include "slotrequest.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/proxy/proxyoptions.h>
#include <hornbeam/proxy/routingstate.h>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(LoadBalancer)
{
    const TimePoint now{1h};
    ProxyOptions options;
    MetricsRegistry metrics;
    LinkPacer link{{.megabitsPerSecond = 8}}; // 90 % of the link are usable: 0.9 bytes per microsecond.
    LoadBalancer balancer{options, metrics, link};

    void setup() override
    {
        Target target;
        target.address = Endpoint("10.0.0.1", 9000);
        target.service = "rota";
        target.name = "own";
        target.slots = 2;
        target.gateway = Endpoint("10.0.0.1", 7000);
        RoutingState state;
        state.targets = {target};
        state.localTargets = {target};
        balancer.publish(state, now);
    }

    /** Requests a slot of the local target for a large response that must start by @p latestStart. */
    SlotRequestPtr ask(TimePoint latestStart)
    {
        auto request = std::make_shared<SlotRequest>(balancer,
                                                     SlotRequestOptions{.service = "rota",
                                                                        .requiredLabels = {},
                                                                        .excluded = {},
                                                                        .deadline = now + 10s,
                                                                        .latestStart = latestStart,
                                                                        .localTarget = "own",
                                                                        .bulk = true,
                                                                        .wake = [] {
                                                                        }});
        balancer.acquire(request, now);
        return request;
    }
};

TEST_GROUP(LoadBalancerVersions)
{
    const TimePoint now{1h};
    ProxyOptions options;
    MetricsRegistry metrics;
    LinkPacer link{{}};
    LoadBalancer balancer{options, metrics, link};
    RoutingState state;

    void add(std::uint16_t port, const std::string &version)
    {
        Target target;
        target.address = Endpoint("10.0.0.1", port);
        target.service = "rota";
        target.slots = 1000;
        target.gateway = Endpoint("10.0.0.1", 7000);
        target.version = version;
        state.targets.push_back(target);
    }

    /** Places a request; returns the version of its target, or "none". */
    std::string place(std::vector<Endpoint> excluded = {})
    {
        auto request = std::make_shared<SlotRequest>(balancer,
                                                     SlotRequestOptions{.service = "rota",
                                                                        .requiredLabels = {},
                                                                        .excluded = std::move(excluded),
                                                                        .deadline = now + 10s,
                                                                        .latestStart = now + 10s,
                                                                        .wake = [] {
                                                                        }});
        balancer.acquire(request, now);
        return balancer.finish(request) == SlotResult::Granted ? request->target()->target.version : "none";
    }
};

// Guards against requests, also repeated ones, to a version that is held or beyond its share.
TEST(LoadBalancerVersions, usesOnlyTheVersionThatTheRulesAllow)
{
    add(1, "v1");
    add(2, "v2");
    add(3, "v3");
    state.versions = {{.service = "rota",
                       .stableVersion = "v1",
                       .freshVersion = "v2",
                       .sharePerMille = 100,
                       .order = 1,
                       .step = 1,
                       .shareLimit = 1}};
    balancer.publish(state, now);
    std::map<std::string, int> placed;
    for (int i = 0; i < 500; ++i) {
        ++placed[place()];
    }
    CHECK(placed["v2"] >= 49 && placed["v2"] <= 51);
    CHECK_EQUAL(500, placed["v1"] + placed["v2"]);
    state.versions.front().sharePerMille = 0;
    state.versions.front().step = 2;
    balancer.publish(state, now);
    for (int i = 0; i < 100; ++i) {
        STRCMP_EQUAL("v1", place().c_str());
    }
    STRCMP_EQUAL("none", place({Endpoint("10.0.0.1", 1)}).c_str());
}

// Guards against refused requests while the new version has no targets, or none that can be reached.
TEST(LoadBalancerVersions, usesTheStableVersionIfTheNewOneHasNoTarget)
{
    add(1, "v1");
    state.versions = {{.service = "rota",
                       .stableVersion = "v1",
                       .freshVersion = "v2",
                       .sharePerMille = 1000,
                       .order = 1,
                       .step = 1,
                       .shareLimit = 1}};
    balancer.publish(state, now);
    STRCMP_EQUAL("v1", place().c_str());
}

// A request whose latest start has passed must still get a slot if the slot and the link are free now.
TEST(LoadBalancer, grantsAFreeSlotToALargeResponseThatCannotWait)
{
    CHECK(balancer.finish(ask(now - 1us)) == SlotResult::Granted);
}

// A large response must not occupy a slot if the link is busy with others for longer than the request can wait.
TEST(LoadBalancer, refusesALargeResponseThatWouldWaitForTheLink)
{
    for (int i = 0; i < 50; ++i) {
        link.largeResponseEnded(900000, link.largeResponseStarted(now));
    }
    link.largeResponseStarted(now);
    const auto refused = ask(now + 500ms);
    CHECK(balancer.finish(refused) == SlotResult::TooLate);
    CHECK(refused->expectedWait() > 900ms && refused->expectedWait() < 1100ms);
    CHECK(balancer.finish(ask(now + 1500ms)) == SlotResult::Granted);
}

// Guards against refusals that the dump cannot explain: whether slots or the link were expected to be busy, and since
// when.
TEST(LoadBalancer, dumpsTheLastReportOfARemoteTarget)
{
    Target target;
    target.address = Endpoint("10.0.0.2", 9000);
    target.service = "rota";
    target.gateway = Endpoint("10.0.0.2", 7000);
    RoutingState state;
    state.targets = {target};
    balancer.publish(state, now);
    const auto lastReport = [this] {
        const auto dump = nlohmann::json::parse(balancer.dumpJson(now + 3s));
        return dump["rota"]["targets"][0].value("lastReport", nlohmann::json());
    };
    CHECK(lastReport().is_null());
    const auto request = std::make_shared<SlotRequest>(balancer,
                                                       SlotRequestOptions{.service = "rota",
                                                                          .requiredLabels = {},
                                                                          .excluded = {},
                                                                          .deadline = now + 10s,
                                                                          .latestStart = now + 10s,
                                                                          .wake = [] {
                                                                          }});
    balancer.acquire(request, now);
    CHECK(balancer.finish(request) == SlotResult::Granted);
    const SlotLease lease(balancer, "rota", request->target(), now);
    const LoadReport report{.running = 4, .waiting = {0, 2, 1}, .slots = 8, .serviceTime = 160ms, .largeWait = 1900ms};
    balancer.recordReport(lease, report, now);
    const nlohmann::json expected = {
        {"ageMs", 3000}, {"running", 4}, {"waiting", 3}, {"serviceTimeMs", 160}, {"linkWaitMs", 1900}};
    CHECK(lastReport() == expected);
}

TEST_GROUP(LoadBalancerPace)
{
    const TimePoint now{1h};
    MetricsRegistry metrics;
    LinkPacer link{{}};
    std::unique_ptr<LoadBalancer> balancer;

    void start(bool paced)
    {
        ProxyOptions options;
        options.targetPace = paced;
        balancer = std::make_unique<LoadBalancer>(options, metrics, link);
        Target target;
        target.address = Endpoint("10.0.0.1", 9000);
        target.service = "rota";
        target.name = "own";
        target.slots = 8;
        target.gateway = Endpoint("10.0.0.1", 7000);
        RoutingState state;
        state.targets = {target};
        state.localTargets = {target};
        balancer->publish(state, now);
    }

    /** Requests a slot of the local target, for a request that cannot wait. */
    SlotRequestPtr ask()
    {
        auto request = std::make_shared<SlotRequest>(*balancer,
                                                     SlotRequestOptions{.service = "rota",
                                                                        .requiredLabels = {},
                                                                        .excluded = {},
                                                                        .deadline = now + 10s,
                                                                        .latestStart = now,
                                                                        .localTarget = "own",
                                                                        .wake = [] {
                                                                        }});
        balancer->acquire(request, now);
        return request;
    }

    /** Requests slots until one is refused; returns how many were granted. */
    int granted()
    {
        int n = 0;
        while (n < 20 && balancer->finish(ask()) == SlotResult::Granted) {
            ++n;
        }
        return n;
    }
};

// Guards against a new target that gets as many requests as it has slots before it has answered one.
TEST(LoadBalancerPace, startsANewTargetWithAQuarterOfItsSlots)
{
    start(true);
    CHECK_EQUAL(2, granted());
}

TEST(LoadBalancerPace, usesAllSlotsWithoutThePace)
{
    start(false);
    CHECK_EQUAL(8, granted());
}

// Guards against other nodes that place requests as if a limited target had all of its slots.
TEST(LoadBalancerPace, reportsTheSlotsThatItDoesNotUseAsTaken)
{
    start(true);
    CHECK_EQUAL(6, balancer->reportOf("rota", "own")->running);
}

// Guards against a target that refuses everything and is offered each request.
TEST(LoadBalancerPace, pausesATargetThatRefusesEverything)
{
    start(true);
    const auto request = ask();
    CHECK(balancer->finish(request) == SlotResult::Granted);
    {
        const SlotLease lease(*balancer, "rota", request->target(), now);
        for (int i = 0; i < 4; ++i) {
            balancer->recordPace(lease, PaceOutcome::Refused, 100ms, now);
        }
    }
    CHECK_EQUAL(0, granted());
}
