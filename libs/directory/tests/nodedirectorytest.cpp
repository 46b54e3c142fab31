#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/directory/nodedirectory.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/manualexecutor.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** A node with its own executor and its own handle to the shared store. */
struct ListedNode
{
    ListedNode(TimerService &timers, const InMemoryStore &shared, const std::string &address)
        : store(executor, shared)
        , directory(
              {.address = *Endpoint::parse(address), .retry = {.initial = 100ms, .maximum = 1s, .seed = 3}},
              store,
              timers,
              [this](const std::vector<Endpoint> &nodes) { known = nodes; },
              [this](RegistrationReason reason) { registrations.push_back(reason); })
    {
    }

    bool knows(const std::string &address) const
    {
        return std::find(known.begin(), known.end(), *Endpoint::parse(address)) != known.end();
    }

    ManualExecutor executor;
    InMemoryStore store;
    std::vector<Endpoint> known;
    std::vector<RegistrationReason> registrations;
    NodeDirectory directory;
};

} // namespace

TEST_GROUP(NodeDirectory)
{
    FakeTimerService timers;
    ManualExecutor executor;
    InMemoryStore shared{executor, timers};
    ListedNode first{timers, shared, "10.0.0.1:7380"};
    ListedNode second{timers, shared, "10.0.0.2:7380"};

    void run(Duration time)
    {
        for (Duration passed{0}; passed <= time; passed += 50ms) {
            timers.advance(50ms);
            executor.run();
            first.executor.run();
            second.executor.run();
        }
    }
};

TEST(NodeDirectory, listsOtherNodes)
{
    first.directory.start();
    second.directory.start();
    run(6s);
    CHECK(first.knows("10.0.0.2:7380"));
    CHECK(second.knows("10.0.0.1:7380"));
    CHECK_FALSE(first.knows("10.0.0.1:7380"));
}

// Guards against a node that is never listed because the store was unavailable when the node started.
TEST(NodeDirectory, registersWhenTheStoreBecomesAvailable)
{
    first.store.setFaults({.unavailable = true});
    first.directory.start();
    second.directory.start();
    run(5s);
    CHECK(first.known.empty());
    first.store.setFaults({});
    run(8s);
    CHECK(second.knows("10.0.0.1:7380"));
    CHECK(first.knows("10.0.0.2:7380"));
}

// Guards against an entry that is not restored after its lease has expired while the node could not reach the store.
TEST(NodeDirectory, registersAgainAfterItsLeaseExpired)
{
    first.directory.start();
    second.directory.start();
    run(2s);
    first.store.setFaults({.unavailable = true});
    run(80s);
    CHECK_FALSE(second.knows("10.0.0.1:7380"));
    first.store.setFaults({});
    run(10s);
    CHECK(second.knows("10.0.0.1:7380"));
    CHECK((first.registrations == std::vector{RegistrationReason::Start, RegistrationReason::LeaseExpired}));
}

// Guards against a missing entry when the request that registers the node is lost, and its outcome is unknown.
TEST(NodeDirectory, registersAgainAfterALostRequest)
{
    first.store.setFaults({.loseRequests = 1});
    first.directory.start();
    second.directory.start();
    run(8s);
    CHECK(second.knows("10.0.0.1:7380"));
}

TEST(NodeDirectory, removesItsEntryWhenItLeaves)
{
    first.directory.start();
    second.directory.start();
    run(6s);
    first.directory.leave();
    run(6s);
    CHECK_FALSE(second.knows("10.0.0.1:7380"));
}

// Guards against a crash or an invalid seed when another writer has stored an entry that is not an address.
TEST(NodeDirectory, ignoresEntriesThatAreNotAddresses)
{
    Transaction transaction;
    transaction.success.push_back(Operation::put("hornbeamring/nodes/x", "no address"));
    second.store.commit(std::move(transaction), [](const Result<TransactionResult> &) {});
    first.directory.start();
    run(6s);
    CHECK(first.known.empty());
}
