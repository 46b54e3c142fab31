#include "loadbalancer.h"
#include "linkpacer.h"
#include "slotrequest.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/proxy/proxyoptions.h>
#include <hornbeam/proxy/routingstate.h>

#include <CppUTest/TestHarness.h>

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
