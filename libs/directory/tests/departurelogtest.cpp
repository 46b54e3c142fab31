#include "departurerecord.h"

#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/directory/departurelog.h>
#include <hornbeam/membership/targetregistry.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/manualexecutor.h>
#include <hornbeam/store/storemodel.h>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

const std::string key = "hornbeamring/departures/10.0.0.1:7380";

/** One process of a node: its targets, and the record of their departures. */
struct NodeProcess
{
    NodeProcess(TimerService &timers, const InMemoryStore &shared)
        : store(executor, shared)
        , registry(timers, [](const std::vector<Target> &) {})
        , log(
              {.address = Endpoint("10.0.0.1", 7380), .retry = {.initial = 100ms, .maximum = 1s, .seed = 3}},
              store,
              timers,
              [this] { return registry.departures(); },
              [this](const std::vector<Departure> &departures) {
                  ++reads;
                  registry.restore(departures);
              })
    {
        registry.hideTargets();
        registry.subscribeDepartures([this] { log.write(); });
    }

    bool announce(std::uint64_t sequence)
    {
        const Target target{.address = Endpoint("10.0.0.1", 80), .service = "rota", .instance = 100, .name = "i-1"};
        return registry.announce(target, 6s, sequence).has_value();
    }

    ManualExecutor executor;
    InMemoryStore store;
    TargetRegistry registry;
    int reads = 0;
    DepartureLog log;
};

} // namespace

TEST_GROUP(DepartureLog)
{
    FakeTimerService timers;
    ManualExecutor executor;
    InMemoryStore shared{executor, timers};
    NodeProcess first{timers, shared};
    NodeProcess second{timers, shared}; ///< Of the same node, after a restart.

    void run(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += 50ms) {
            timers.advance(50ms);
            executor.run();
            first.executor.run();
            second.executor.run();
        }
    }

    /** The first process acknowledges that its target has left. */
    void leaveAtFirst()
    {
        first.log.start();
        run(1s);
        CHECK(first.announce(7));
        CHECK(first.registry.withdraw("i-1", 100).has_value());
    }

    /** Writes @p value as another writer, and starts the second process. */
    void startWith(const std::string &value)
    {
        Transaction transaction;
        transaction.success.push_back(Operation::put(key, value));
        shared.commit(std::move(transaction), [](const Result<TransactionResult> &) {});
        second.log.start();
        run(1s);
    }
};

// Guards against requests to a target that has left, when its node has restarted and a late heartbeat arrives.
TEST(DepartureLog, restartedNodeIgnoresALateHeartbeat)
{
    leaveAtFirst();
    bool recorded = false;
    first.log.whenRecorded([&] { recorded = true; });
    CHECK_FALSE(recorded);
    run(200ms);
    CHECK(recorded);
    second.log.start();
    // Arrives before the departures are read.
    CHECK(second.announce(8));
    run(1s);
    CHECK(second.registry.targets().empty());
    CHECK_FALSE(second.announce(9));
}

// Guards against a target that waits for its acknowledgement until the store is available again.
TEST(DepartureLog, limitsTheWaitForTheStore)
{
    leaveAtFirst();
    first.store.setFaults({.unavailable = true});
    bool recorded = false;
    first.log.whenRecorded([&] { recorded = true; });
    run(600ms);
    CHECK_FALSE(recorded);
    run(150ms);
    CHECK(recorded);
    first.store.setFaults({});
    run(3s);
    second.log.start();
    run(1s);
    CHECK_FALSE(second.announce(8));
}

// Guards against a process that overwrites the departures which it has not read yet.
TEST(DepartureLog, readsBeforeItWrites)
{
    leaveAtFirst();
    run(1s);
    second.store.setFaults({.unavailable = true});
    second.log.start();
    run(1s);
    CHECK_FALSE(second.registry.withdraw("i-2", 50).has_value());
    second.store.setFaults({});
    run(3s);
    CHECK_EQUAL(2, second.registry.departures().size());
    NodeProcess third{timers, shared};
    third.log.start();
    third.executor.run();
    CHECK_EQUAL(2, third.registry.departures().size());
}

// Guards against a lost departure when the answer to its write is lost, or when the store is restored after the lease
// was granted.
TEST(DepartureLog, repeatsAWriteOfUnknownOutcome)
{
    first.store.setFaults({.loseRequests = 3});
    leaveAtFirst();
    run(5s);
    second.log.start();
    run(1s);
    CHECK_FALSE(second.announce(8));
}

// Guards against departures that stay in the store for nodes that no longer exist.
TEST(DepartureLog, recordExpires)
{
    leaveAtFirst();
    run(1s);
    CHECK_EQUAL(1, shared.copy().range({.key = key}).entries.size());
    timers.advance(601s);
    CHECK_EQUAL(0, shared.copy().range({.key = key}).entries.size());
}

// Guards against a node that ends, or lists no target, because another writer has left an odd value.
TEST(DepartureLog, ignoresOddValues)
{
    const auto nested = std::string(100000, '[');
    for (const std::string &value : {std::string(),
                                     std::string("\xff"),
                                     std::string("{}"),
                                     nested,
                                     std::string("[1e400]"),
                                     std::string(R"([{"name":"i-1","instance":-1,"sequence":1}])"),
                                     std::string(R"([{"name":"i-1","instance":99999999999999999999999,"sequence":1}])"),
                                     std::string(R"([{"name":"","instance":100,"sequence":9}])"),
                                     std::string(R"([{"name":["i-1"],"instance":100,"sequence":9}, null, 7])")}) {
        CHECK(decodeDepartures(value).empty());
    }
    startWith(nested);
    CHECK(second.announce(8));
    CHECK_EQUAL(1, second.registry.targets().size());
}

// Guards against an odd entry that hides the others.
TEST(DepartureLog, readsTheOtherEntriesOfAnOddValue)
{
    startWith(R"([{"name":7}, {"name":"i-1","instance":100,"sequence":18446744073709551615}])");
    CHECK_EQUAL(1, second.reads);
    CHECK_FALSE(second.announce(8));
}
