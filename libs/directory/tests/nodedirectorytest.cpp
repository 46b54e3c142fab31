#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/directory/nodedirectory.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/manualexecutor.h>
#include <hornbeam/store/storemodel.h>

#include <algorithm>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Returns an earlier state to the reads that permit it, delays responses, refuses transactions and counts calls. */
class NodeStore : public InMemoryStore
{
public:
    NodeStore(Executor &executor, const InMemoryStore &shared)
        : InMemoryStore(executor, shared)
        , m_executor(executor)
    {
    }

    void range(RangeRequest request, Callback<RangeResult> callback) override
    {
        const auto saved = faults();
        auto current = saved;
        current.staleReads = request.mayBeStale ? staleness : 0;
        current.answerDelay += request.prefix ? Duration(0) : entryReadDelay;
        setFaults(current);
        InMemoryStore::range(std::move(request), std::move(callback));
        setFaults(saved);
    }

    void keepLeaseAlive(LeaseId lease, Callback<LeaseGrant> callback) override
    {
        ++renewals;
        const auto saved = faults();
        auto current = saved;
        current.answerDelay += renewalDelay;
        setFaults(current);
        InMemoryStore::keepLeaseAlive(lease, std::move(callback));
        setFaults(saved);
    }

    void commit(Transaction transaction, Callback<TransactionResult> callback) override
    {
        if (refusals > 0) {
            --refusals;
            m_executor.post([callback = std::move(callback)] {
                callback(makeError(ErrorCode::Overloaded, "the rate limit rejected the call"));
            });
            return;
        }
        InMemoryStore::commit(std::move(transaction), std::move(callback));
    }

    void grantLease(std::chrono::seconds timeToLive, Callback<LeaseGrant> callback) override
    {
        ++grants;
        InMemoryStore::grantLease(timeToLive, std::move(callback));
    }

    std::int64_t staleness = 0; ///< In revisions.
    Duration entryReadDelay{0}; ///< Delay of the response to a read of one entry.
    Duration renewalDelay{0}; ///< Delay of the response to a renewal.
    int refusals = 0; ///< This many transactions are refused.
    int grants = 0;
    int renewals = 0;

private:
    Executor &m_executor;
};

/** A node with its own executor and its own handle to the shared store. */
struct ListedNode
{
    ListedNode(TimerService &timers, const InMemoryStore &shared, const std::string &address)
        : store(executor, shared)
        , directory(
              {.address = *Endpoint::parse(address),
               .retry = {.initial = 100ms, .maximum = 1s, .seed = 3},
               .entryCheck = {.initial = 500ms, .maximum = 2s, .seed = 3}},
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
    NodeStore store;
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

    /** Ends the lease that the first node was granted first, and removes its entry with it. */
    void endFirstLease()
    {
        shared.revokeLease(1, [](const Result<bool> &revoked) { CHECK(revoked.has_value()); });
        executor.run();
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

// Guards against a node that ends, or no longer finds the others, because of one odd entry among theirs.
TEST(NodeDirectory, listsOtherNodesBesideOddEntries)
{
    int n = 0;
    for (const std::string &value : {std::string(100000, '['),
                                     std::string("10.0.0.9:65536"),
                                     std::string("10.0.0.9:99999999999999999999"),
                                     std::string("10.0.0.9:-1"),
                                     std::string("\0\xff", 2),
                                     std::string()}) {
        Transaction transaction;
        transaction.success.push_back(Operation::put("hornbeamring/nodes/odd" + std::to_string(++n), value));
        second.store.commit(std::move(transaction), [](const Result<TransactionResult> &) {});
    }
    first.directory.start();
    second.directory.start();
    run(6s);
    CHECK((first.known == std::vector{*Endpoint::parse("10.0.0.2:7380")}));
}

// Guards against a node that renews the lease of another node, while its own entry was lost with the restored store.
TEST(NodeDirectory, registersAgainWhenARestoredStoreHasLostItsEntry)
{
    const auto copy = shared.copy();
    first.directory.start();
    run(2s);
    shared.restore(copy);
    second.directory.start(); // Gets the lease id that the first node had.
    run(30s);
    CHECK(second.knows("10.0.0.1:7380"));
    CHECK(first.knows("10.0.0.2:7380"));
    CHECK((first.registrations == std::vector{RegistrationReason::Start, RegistrationReason::EntryLost}));
    CHECK_EQUAL(1, second.registrations.size());
}

// Guards against an entry that expires because a delayed write has attached it to an earlier lease.
TEST(NodeDirectory, registersAgainWhenADelayedWriteHasReplacedItsEntry)
{
    first.directory.start();
    run(2s);
    Transaction transaction;
    transaction.success.push_back(Operation::put("hornbeamring/nodes/10.0.0.1:7380", "10.0.0.1:7380"));
    shared.commit(std::move(transaction), [](const Result<TransactionResult> &) {});
    run(30s);
    CHECK((first.registrations == std::vector{RegistrationReason::Start, RegistrationReason::EntryLost}));
}

// Guards against waiting for the next periodic read, which may be stale, after the store was restored.
TEST(NodeDirectory, registersALostEntryWithinASecondOfACheck)
{
    const auto copy = shared.copy();
    first.directory.start();
    run(2s);
    shared.restore(copy);
    first.directory.checkEntry();
    run(1s);
    CHECK_EQUAL(2, first.registrations.size());
}

// Guards against a fleet that reads whole lists, or all at the same moment, after the store was restored.
TEST(NodeDirectory, checksItsEntryWithOneReadAfterARandomDelay)
{
    first.directory.start();
    second.directory.start();
    run(2s);
    const auto reads = first.store.calls().reads;
    first.directory.checkEntry();
    first.directory.checkEntry();
    first.executor.run();
    CHECK_EQUAL(reads, first.store.calls().reads);
    run(1s);
    CHECK_EQUAL(reads + 1, first.store.calls().reads);
    CHECK_EQUAL(1, first.registrations.size());
}

// Guards against a new registration for each list that is older than the node's entry.
TEST(NodeDirectory, keepsItsEntryWhenTheListIsStale)
{
    first.store.staleness = 1000;
    first.directory.start();
    second.directory.start();
    run(30s);
    CHECK_EQUAL(1, first.registrations.size());
}

// Guards against a leaving node that revokes the lease of another node, which has its id since the store was restored.
TEST(NodeDirectory, keepsTheEntryOfAnotherNodeWhenItLeavesAfterARestoration)
{
    const auto copy = shared.copy();
    first.directory.start();
    run(2s);
    shared.restore(copy);
    second.directory.start(); // Gets the lease id that the first node had.
    run(1s);
    first.directory.leave();
    run(1s);
    ListedNode third{timers, shared, "10.0.0.3:7380"};
    third.directory.start();
    third.executor.run();
    CHECK(third.knows("10.0.0.2:7380"));
}

// Guards against an entry that stays listed because its write took effect after the node had left.
TEST(NodeDirectory, removesAnEntryThatIsWrittenWhileItLeaves)
{
    first.store.setFaults({.applyDelay = 100ms, .answerDelay = 100ms});
    first.directory.start();
    second.directory.start();
    run(250ms);
    first.directory.leave();
    run(6s);
    CHECK_FALSE(second.knows("10.0.0.1:7380"));
}

// Guards against a lease for each repetition of a write that the store refuses.
TEST(NodeDirectory, keepsItsLeaseWhenTheStoreRefusesItsEntry)
{
    first.store.refusals = 4;
    first.directory.start();
    run(20s);
    CHECK_EQUAL(1, first.registrations.size());
    CHECK_EQUAL(1, first.store.grants);
}

// Guards against a node that is never listed because its lease expired before its entry could be written.
TEST(NodeDirectory, takesANewLeaseWhenItsLeaseExpiredBeforeItsEntryIsWritten)
{
    first.store.refusals = 1000;
    first.directory.start();
    run(61s);
    first.store.refusals = 0;
    run(5s);
    CHECK_EQUAL(1, first.registrations.size());
    CHECK_EQUAL(2, first.store.grants);
}

// Guards against a lost entry that an earlier state of the store still has.
TEST(NodeDirectory, registersAgainWhenOnlyAStaleReadHasItsEntry)
{
    first.directory.start();
    run(2s);
    endFirstLease();
    first.store.staleness = 1;
    first.directory.checkEntry();
    run(1s);
    CHECK((first.registrations == std::vector{RegistrationReason::Start, RegistrationReason::EntryLost}));
}

// Guards against a leaving process that removes the entry that its successor has written under the same address.
TEST(NodeDirectory, keepsTheEntryOfItsSuccessorWhenItLeaves)
{
    first.directory.start();
    second.directory.start();
    run(6s);
    ListedNode successor{timers, shared, "10.0.0.1:7380"};
    successor.directory.start();
    successor.executor.run();
    CHECK_EQUAL(1, successor.registrations.size());
    first.directory.leave();
    run(6s);
    CHECK(second.knows("10.0.0.1:7380"));
}

// Guards against a registration for the late refusal to renew a lease that has been replaced meanwhile.
TEST(NodeDirectory, ignoresTheRenewalOfAnEarlierLease)
{
    first.directory.start();
    run(14900ms);
    endFirstLease();
    first.store.renewalDelay = 1900ms;
    run(3s);
    CHECK_EQUAL(1, first.store.renewals);
    CHECK((first.registrations == std::vector{RegistrationReason::Start, RegistrationReason::EntryLost}));
}

// Guards against a registration for the late response to a read that was sent before the entry was written again.
TEST(NodeDirectory, ignoresAReadOfAnEarlierEntry)
{
    first.directory.start();
    run(14400ms);
    endFirstLease();
    first.store.entryReadDelay = 1900ms;
    first.directory.checkEntry();
    run(3s);
    CHECK((first.registrations == std::vector{RegistrationReason::Start, RegistrationReason::LeaseExpired}));
}

// Guards against a killed node that stays listed because another node renews the lease that both were granted.
TEST(NodeDirectory, forgetsAKilledNodeWhoseLeaseWasGivenOutAgainBeforeItsWrite)
{
    const auto copy = shared.copy();
    first.store.setFaults({.applyDelay = 100ms});
    first.directory.start();
    run(100ms);
    shared.restore(copy);
    second.directory.start(); // Gets the lease id that the first node was granted.
    run(10s);
    CHECK(second.knows("10.0.0.1:7380"));
    CHECK_EQUAL(1, first.registrations.size());
    first.store.setFaults({.unavailable = true}); // The node neither renews nor reads.
    run(180s);
    CHECK_FALSE(second.knows("10.0.0.1:7380"));
}

// Guards against an entry that stays listed because its node leaves while it replaces a lease of another node.
TEST(NodeDirectory, removesAnEntryWithTheLeaseOfAnotherNodeWhenItLeaves)
{
    const auto copy = shared.copy();
    first.store.setFaults({.applyDelay = 100ms});
    first.directory.start();
    run(100ms);
    shared.restore(copy);
    second.directory.start(); // Gets the lease id that the first node was granted.
    run(100ms);
    first.store.setFaults({});
    std::optional<LeaseId> lease;
    shared.range({.key = "hornbeamring/nodes/10.0.0.1:7380"},
                 [&](const Result<RangeResult> &read) { lease = read->entries.at(0).lease; });
    executor.run();
    CHECK(lease == 1);
    first.directory.leave();
    run(90s);
    CHECK_FALSE(second.knows("10.0.0.1:7380"));
}
