#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/claims/requestidentity.h>
#include <hornbeam/claims/storeclaimcoordinator.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/manualexecutor.h>
#include <hornbeam/store/pausabletimerservice.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr auto step = 10ms;
constexpr std::uint64_t backoffSeed = 5;

/** A node with its own executor, timers, wall clock and store client, so that it can be paused and disconnected. */
class Node
{
public:
    Node(TimerService &time, const InMemoryStore &shared)
        : timers(time)
        , store(executor, shared)
        , coordinator(std::move(
              *StoreClaimCoordinator::make({.backoff = {.initial = 20ms, .maximum = 100ms, .seed = backoffSeed},
                                            .wallClock =
                                                [this] {
                                                    return wallClock();
                                                }},
                                           {store, executor, timers, metrics})))
    {
    }

    std::chrono::system_clock::time_point wallClock() const
    {
        const auto elapsed = timers.now().time_since_epoch() + clockSkew;
        return std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(elapsed));
    }

    void pause()
    {
        paused = true;
        timers.pause();
    }

    /** @p timersFirst: after a pause, the event loop may run either the timers or the queued store responses first. */
    void resume(bool timersFirst)
    {
        paused = false;
        if (!timersFirst) {
            executor.run();
        }
        timers.resume();
        executor.run();
    }

    std::uint64_t counter(const char *name)
    {
        return metrics.counter(name, "").value();
    }

    MetricsRegistry metrics;
    ManualExecutor executor;
    PausableTimerService timers;
    Duration clockSkew{0};
    InMemoryStore store;
    std::unique_ptr<StoreClaimCoordinator> coordinator;
    bool paused = false;
};

/** One claim with its decision and the time at which it was delivered. */
struct Claim
{
    std::optional<ClaimDecision> decision;
    TimePoint deliveredAt;
    int deliveries = 0;

    bool is(ClaimOutcome outcome) const
    {
        return decision && decision->outcome == outcome;
    }
};

} // namespace

TEST_GROUP(StoreClaimCoordinator)
{
    FakeTimerService time;
    ManualExecutor idle;
    InMemoryStore shared{idle, time, {.requestTimeout = 300ms}};
    Node first{time, shared};
    Node second{time, shared};
    std::vector<std::unique_ptr<Claim>> claims;
    const Digest identity = RequestIdentity::ofKey("clerk", "book", "key-1");
    const RecordedResponse response{
        .status = 201, .headers = {{"Content-Type", "text/plain"}}, .body = std::string("slot\0\xff", 6)};

    Claim &claim(Node & node, const Digest &id, Duration deadline = 500ms)
    {
        auto &made = *claims.emplace_back(std::make_unique<Claim>());
        node.coordinator->claim(id, time.now() + deadline, [this, &made](ClaimDecision decision) {
            made.decision = std::move(decision);
            made.deliveredAt = time.now();
            ++made.deliveries;
        });
        return made;
    }

    void advance(Duration duration = 50ms)
    {
        runNodes();
        for (Duration passed{0}; passed < duration; passed += step) {
            time.advance(step);
            runNodes();
        }
    }

    void runNodes()
    {
        for (auto *node : {&first, &second}) {
            if (!node->paused) {
                node->executor.run();
            }
        }
    }

    int grants() const
    {
        int count = 0;
        for (const auto &it : claims) {
            count += it->is(ClaimOutcome::Granted) ? 1 : 0;
        }
        return count;
    }
};

// Guards against two executions when two nodes receive the same request at the same time.
TEST(StoreClaimCoordinator, grantsOneOfTwoRacingNodes)
{
    auto &one = claim(first, identity);
    auto &two = claim(second, identity);
    advance();
    CHECK(one.is(ClaimOutcome::Granted));
    CHECK(two.is(ClaimOutcome::InProgress));
}

// Guards against two grants when a client sends a request twice to one node; both claims are queued together.
TEST(StoreClaimCoordinator, grantsOneOfTwoClaimsAtOneNode)
{
    claim(first, identity);
    claim(first, identity);
    advance();
    CHECK_EQUAL(1, grants());
    CHECK(claims.at(1)->is(ClaimOutcome::InProgress));
}

// Guards against an attempt that takes its own claim for that of another one after a lost response of the store.
TEST(StoreClaimCoordinator, recognisesItsClaimAfterALostResponse)
{
    claim(first, Digest::of("warm up: the node's lease"));
    advance();
    first.store.setFaults({.loseAnswers = 1});
    auto &lost = claim(first, identity);
    advance(200ms);
    CHECK(lost.is(ClaimOutcome::Granted));
    auto &other = claim(second, identity);
    advance();
    CHECK(other.is(ClaimOutcome::InProgress));
}

// Guards against treating a call without a response as a grant: the write may not have reached the store, and another
// node may hold the claim.
TEST(StoreClaimCoordinator, doesNotGrantAClaimWhoseWriteWasLost)
{
    claim(first, Digest::of("warm up: the node's lease"));
    advance();
    first.store.setFaults({.loseRequests = 1});
    auto &lost = claim(first, identity);
    first.executor.run();
    auto &other = claim(second, identity);
    advance(200ms);
    CHECK(other.is(ClaimOutcome::Granted));
    CHECK(lost.is(ClaimOutcome::InProgress));
}

// Guards against requests that hang or run without a claim while the store is down.
TEST(StoreClaimCoordinator, reportsNotRunWhileTheStoreIsDown)
{
    first.store.setFaults({.unavailable = true});
    auto &down = claim(first, identity);
    advance(600ms);
    CHECK(down.is(ClaimOutcome::NotRun));
    CHECK(down.deliveredAt <= TimePoint() + 510ms);
    first.store.setFaults({});
    advance(1s);
    auto &retry = claim(second, identity);
    advance();
    CHECK(retry.is(ClaimOutcome::Granted));
    CHECK_EQUAL(1, grants());
}

// Guards against a grant after the deadline, and against a claim that is written late and then blocks the retry for the
// retention of a day.
TEST(StoreClaimCoordinator, releasesAClaimThatIsWrittenAfterTheDeadline)
{
    claim(first, Digest::of("warm up: the node's lease"));
    advance();
    first.store.setFaults({.applyDelay = 200ms});
    auto &slow = claim(first, identity, 100ms);
    advance(150ms);
    CHECK(slow.is(ClaimOutcome::NotRun));
    first.store.setFaults({});
    advance(500ms);
    CHECK_EQUAL(1, slow.deliveries);
    CHECK_EQUAL(1, first.counter("hornbeam_claims_freed_total"));
    auto &retry = claim(second, identity);
    advance();
    CHECK(retry.is(ClaimOutcome::Granted));
}

// Guards against a claim that is written after it was released: a write that reaches the store after its request
// timeout must fail there and not block the retry.
TEST(StoreClaimCoordinator, rejectsAWriteThatArrivesAfterItsTimeout)
{
    claim(first, Digest::of("warm up: the node's lease"));
    advance();
    first.store.setFaults({.applyDelay = 2s});
    auto &slow = claim(first, identity, 100ms);
    advance(150ms);
    first.store.setFaults({});
    advance(1s);
    CHECK(slow.is(ClaimOutcome::NotRun));
    advance(2s);
    auto &retry = claim(second, identity);
    advance();
    CHECK(retry.is(ClaimOutcome::Granted));
}

// Guards against a grant by a process that was paused and handles the response of the store after the deadline.
TEST(StoreClaimCoordinator, doesNotGrantAfterAPauseBeyondTheDeadline)
{
    claim(first, Digest::of("warm up: the node's lease"));
    advance();
    for (const bool timersFirst : {true, false}) {
        const auto id = Digest::of(timersFirst ? "timers first" : "answers first");
        first.store.setFaults({.answerDelay = 50ms});
        auto &pausedClaim = claim(first, id, 100ms);
        first.executor.run();
        first.pause();
        first.store.setFaults({});
        time.advance(5s);
        first.resume(timersFirst);
        CHECK(pausedClaim.is(ClaimOutcome::NotRun));
        CHECK_EQUAL(1, pausedClaim.deliveries);
        advance(200ms);
        auto &retry = claim(second, id);
        advance();
        CHECK(retry.is(ClaimOutcome::Granted));
    }
}

// Guards against a retry that runs the request again instead of receiving the first response.
TEST(StoreClaimCoordinator, replaysTheRecordedResponse)
{
    auto &granted = claim(first, identity);
    advance();
    first.coordinator->complete(granted.decision->ticket, response);
    advance();
    auto &retry = claim(second, identity);
    advance();
    CHECK(retry.is(ClaimOutcome::Completed));
    CHECK(response == retry.decision->response);
}

// Guards against an outcome that is not recorded because calls to the store were lost.
TEST(StoreClaimCoordinator, recordsTheResponseAfterLostWrites)
{
    auto &granted = claim(first, identity);
    advance();
    first.store.setFaults({.loseRequests = 2});
    first.coordinator->complete(granted.decision->ticket, response);
    advance(500ms);
    auto &retry = claim(second, identity);
    advance();
    CHECK(retry.is(ClaimOutcome::Completed));
}

TEST(StoreClaimCoordinator, omitsALargeBody)
{
    auto &granted = claim(first, identity);
    advance();
    auto large = response;
    large.body.assign(1U << 20, 'x');
    first.coordinator->complete(granted.decision->ticket, large);
    advance();
    auto &retry = claim(second, identity);
    advance();
    CHECK(retry.is(ClaimOutcome::Completed));
    CHECK(retry.decision->response.bodyOmitted);
    CHECK_EQUAL(201, retry.decision->response.status);
}

// Guards against a claim that blocks the retry of a request although nothing was sent.
TEST(StoreClaimCoordinator, letsARetryRunAfterARelease)
{
    auto &granted = claim(first, identity);
    advance();
    first.coordinator->release(granted.decision->ticket);
    auto &one = claim(first, identity);
    auto &two = claim(second, identity);
    advance();
    CHECK(one.is(ClaimOutcome::Granted) != two.is(ClaimOutcome::Granted));
    CHECK_EQUAL(2, grants());
}

// Guards against a late release that frees the claim of a later attempt.
TEST(StoreClaimCoordinator, releasesOnlyTheClaimOfItsOwnAttempt)
{
    auto &granted = claim(first, identity);
    advance();
    const auto ticket = granted.decision->ticket;
    first.coordinator->release(ticket);
    advance();
    claim(second, identity);
    advance();
    first.coordinator->release(ticket);
    advance();
    auto &third = claim(first, identity);
    advance();
    CHECK(third.is(ClaimOutcome::InProgress));
}

// Guards against reporting InProgress forever after the claiming node died, and against a grant because of clock skew.
TEST(StoreClaimCoordinator, reportsUnknownAfterTheRecordedDeadline)
{
    claim(first, identity, 500ms);
    advance();
    auto &early = claim(second, identity);
    advance();
    CHECK(early.is(ClaimOutcome::InProgress));
    advance(600ms);
    auto &late = claim(second, identity);
    second.clockSkew = -24h;
    auto &wrongClock = claim(second, identity);
    advance();
    CHECK_FALSE(late.is(ClaimOutcome::Granted));
    CHECK(wrongClock.is(ClaimOutcome::InProgress));
    second.clockSkew = 24h;
    auto &fastClock = claim(second, identity);
    advance();
    CHECK(fastClock.is(ClaimOutcome::Unknown));
}

TEST(StoreClaimCoordinator, reportsUnknownWhenMarked)
{
    auto &granted = claim(first, identity);
    advance();
    first.coordinator->markUnknown(granted.decision->ticket);
    advance();
    auto &retry = claim(second, identity);
    advance();
    CHECK(retry.is(ClaimOutcome::Unknown));
}

// Guards against one store write per claim: the store accepts only several hundred writes per second.
TEST(StoreClaimCoordinator, commitsManyClaimsInOneTransaction)
{
    for (int i = 0; i < 129; ++i) {
        claim(first, Digest::of(std::to_string(i)));
    }
    advance();
    CHECK_EQUAL(129, grants());
    // The lease, then batches of 64, 64 and 1.
    CHECK_EQUAL(4, first.store.calls().writes);
}

// Guards against claims that expire before the retention has passed, and against claims that never expire.
TEST(StoreClaimCoordinator, keepsClaimsForTheRetention)
{
    claim(first, identity);
    advance();
    time.advance(24h - 1min);
    runNodes();
    auto &blocked = claim(second, identity);
    advance();
    CHECK(blocked.is(ClaimOutcome::Unknown));
    time.advance(4h);
    runNodes();
    auto &afterwards = claim(second, identity);
    advance();
    CHECK(afterwards.is(ClaimOutcome::Granted));
}

// Guards against claims that fail after the store lost the lease, for example in a restore from a backup.
TEST(StoreClaimCoordinator, replacesALostLease)
{
    claim(first, identity);
    advance();
    shared.revokeLease(1, [](const Result<bool> &) {});
    auto &next = claim(first, Digest::of("next"));
    advance(200ms);
    CHECK(next.is(ClaimOutcome::Granted));
}

// Guards against two executions under any combination of store faults and paused nodes. Set CLAIMS_SEED to repeat a
// run.
TEST(StoreClaimCoordinator, neverExecutesTwiceUnderRandomFaults)
{
    const char *text = std::getenv("CLAIMS_SEED");
    const auto seed = text != nullptr ? std::stoull(text) : std::random_device()();
    std::printf("CLAIMS_SEED=%llu ", static_cast<unsigned long long>(seed));
    std::mt19937_64 random(seed);
    const auto below = [&random](int bound) {
        return std::uniform_int_distribution<int>(0, bound - 1)(random);
    };
    constexpr int identities = 40;
    std::vector<int> executions(identities, 0);
    std::vector<int> releases(identities, 0);
    const auto act = [&](Node &node, int id, const ClaimDecision &decision) {
        if (decision.outcome != ClaimOutcome::Granted) {
            return;
        }
        if (below(3) == 0) {
            ++releases[id];
            node.coordinator->release(decision.ticket);
            return;
        }
        ++executions[id];
        if (below(2) == 0) {
            node.coordinator->complete(decision.ticket, response);
        }
    };
    for (int round = 0; round < 3000; ++round) {
        auto &node = below(2) == 0 ? first : second;
        if (below(10) == 0) {
            node.store.setFaults({.unavailable = below(4) == 0,
                                  .loseAnswers = static_cast<std::uint32_t>(below(3)),
                                  .loseRequests = static_cast<std::uint32_t>(below(2)),
                                  .applyDelay = below(3) == 0 ? below(600) * 1ms : 0ms,
                                  .answerDelay = below(3) == 0 ? below(200) * 1ms : 0ms});
        }
        if (node.paused) {
            node.resume(below(2) == 0);
        } else if (below(20) == 0) {
            node.pause();
        }
        const int id = below(identities);
        const auto deadline = time.now() + (20 + below(500)) * 1ms;
        node.coordinator->claim(Digest::of(std::to_string(id)), deadline, [&, id, deadline](ClaimDecision decision) {
            CHECK(decision.outcome != ClaimOutcome::Granted || time.now() < deadline);
            act(node, id, decision);
        });
        advance(step);
    }
    int executed = 0;
    int released = 0;
    for (int id = 0; id < identities; ++id) {
        CHECK(executions[id] <= 1);
        executed += executions[id];
        released += releases[id];
    }
    std::printf("executed %d of %d, released %d ", executed, identities, released);
    CHECK(executed > 0);
}

TEST(StoreClaimCoordinator, refusesOptionsOutOfRange)
{
    const StoreClaimCoordinatorDependencies dependencies{first.store, first.executor, time, first.metrics};
    CHECK_FALSE(StoreClaimCoordinator::make({.maxBatch = 65}, dependencies).has_value());
    CHECK_FALSE(StoreClaimCoordinator::make({.retention = 1s}, dependencies).has_value());
}
