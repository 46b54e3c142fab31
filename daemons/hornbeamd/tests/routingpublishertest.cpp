#include "routingpublisher.h"

#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/dissemination/snapshotholder.h>
#include <hornbeam/membership/membershiptable.h>
#include <hornbeam/proxy/crashquarantine.h>
#include <hornbeam/proxy/proxyserver.h>
#include <hornbeam/store/manualexecutor.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

class RecordingProxy : public ProxyServer
{
public:
    void publish(RoutingStatePtr newState) override
    {
        state = std::move(newState);
        ++publications;
    }

    Endpoint localEndpoint() const override
    {
        return {};
    }

    Endpoint relayEndpoint() const override
    {
        return {};
    }

    void drain(std::function<void()> drained) override
    {
        drained();
    }

    void peerStops(const std::string & /*nodeId*/) override {}

    std::size_t requestsInFlight() const override
    {
        return 0;
    }

    std::string dumpJson() const override
    {
        return "{}";
    }

    RoutingStatePtr state;
    int publications = 0;
};

Member memberWithTarget(TargetState state)
{
    Member member{.id = "node", .zone = "turku", .peerAddress = Endpoint("127.0.0.1", 1), .incarnation = 1};
    member.targets = {{.address = Endpoint("127.0.0.1", 9000), .service = "rota", .zone = "turku", .state = state}};
    return member;
}

} // namespace

TEST_GROUP(RoutingPublisher)
{
    ManualExecutor executor;
    FakeTimerService timers;
    MetricsRegistry metrics;
    SnapshotHolder configuration{metrics};
    MembershipTable members;
    CrashQuarantine quarantine{{.quarantine = 60s}};
    RecordingProxy proxy;
    RoutingPublisher publisher{{.executor = executor,
                                .timers = timers,
                                .configuration = configuration,
                                .members = members,
                                .quarantine = quarantine}};

    /**
     * Advances the time in steps of one second and runs the executor after each, so that a publication runs in the
     * second in which a timer posts it, and not after the whole @p time.
     */
    void advance(std::chrono::seconds time)
    {
        for (auto passed = 0s; passed < time; passed += 1s) {
            timers.advance(1s);
            executor.run();
        }
    }
};

// Guards against a request that stays refused after its quarantine has expired. The expiry itself is not an event that
// triggers a publication.
TEST(RoutingPublisher, releasesExpiredQuarantines)
{
    publisher.start(proxy);
    quarantine.quarantineUntil(Digest::of("request"), timers.now() + 60s);
    advance(2s);
    CHECK_EQUAL(1, proxy.state->quarantined.size());
    advance(61s);
    CHECK_EQUAL(0, proxy.state->quarantined.size());
}

// Guards against publishing only one of two changes that belong together, a new target and the configuration that adds
// its service, which happens when each change is published on its own.
TEST(RoutingPublisher, publishesChangesOfOneEventLoopIterationTogether)
{
    publisher.start(proxy);
    executor.run();
    const int before = proxy.publications;
    members.merge(memberWithTarget(TargetState::Serving));
    configuration.apply(*Snapshot::make(1, {.services = {{.name = "rota"}}}));
    executor.run();
    CHECK_EQUAL(before + 1, proxy.publications);
    CHECK_EQUAL(1, proxy.state->snapshot->version());
    CHECK_EQUAL(1, proxy.state->targets.size());
}

// Guards against new requests to a target that is leaving, whether the target itself or the configuration says so.
TEST(RoutingPublisher, excludesLeavingTargets)
{
    publisher.start(proxy);
    members.merge(memberWithTarget(TargetState::Leaving));
    executor.run();
    CHECK_EQUAL(0, proxy.state->targets.size());

    auto member = memberWithTarget(TargetState::Serving);
    member.incarnation = 2;
    members.merge(member);
    configuration.apply(*Snapshot::make(1, {.leavingTargets = {{.address = Endpoint("127.0.0.1", 9000)}}}));
    executor.run();
    CHECK_EQUAL(0, proxy.state->targets.size());
}

// Guards against requests that a restarted node serves with an older configuration than the rest of the fleet.
TEST(RoutingPublisher, isNotReadyBeforeSetReady)
{
    publisher.start(proxy);
    executor.run();
    CHECK_FALSE(proxy.state->ready);
    publisher.setReady();
    executor.run();
    CHECK(proxy.state->ready);
}
