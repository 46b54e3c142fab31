#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/config/documentsource.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/manualexecutor.h>
#include <hornbeam/store/storemodel.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** A document consists of the version number; any other text is malformed. */
class NumberDecoder : public DocumentDecoder
{
public:
    Result<SnapshotPtr> decode(std::string_view document) const override
    {
        const auto version = std::strtoull(std::string(document).c_str(), nullptr, 10);
        if (version == 0) {
            return makeError(ErrorCode::InvalidArgument, "no number");
        }
        return Snapshot::make(version, {});
    }
};

class RecordingListener : public ConfigSourceListener
{
public:
    SnapshotPtr currentSnapshot() const override
    {
        return Snapshot::empty();
    }

    void receivedSnapshot(const SnapshotPtr &snapshot) override
    {
        versions.push_back(snapshot->version());
    }

    void receivedStoreVersion(ConfigVersion version) override
    {
        storeVersion = version;
    }

    void storeReachable(bool isReachable) override
    {
        reachable = isReachable;
    }

    void storeRestored(StoreGeneration /*earlier*/, StoreGeneration /*current*/) override
    {
        ++restorations;
    }

    void storeHistoryLost(const Error & /*error*/) override {}

    void configurationRefused(const Error & /*error*/) override
    {
        ++refusals;
    }

    std::vector<ConfigVersion> versions;
    ConfigVersion storeVersion = 0;
    bool reachable = false;
    int refusals = 0;
    int restorations = 0;
};

/** Ends its first watches at once, because it does not have their revisions. */
class ForgetfulStore : public InMemoryStore
{
public:
    using InMemoryStore::InMemoryStore;

    std::unique_ptr<Watch> watch(WatchRequest request, WatchListener &listener) override
    {
        if (forgotten > 0) {
            --forgotten;
            request.startRevision = revision() + 2;
        }
        return InMemoryStore::watch(std::move(request), listener);
    }

    int forgotten = 0;
};

} // namespace

TEST_GROUP(DocumentSource)
{
    FakeTimerService timers;
    ManualExecutor executor;
    InMemoryStore operatorStore{executor, timers};
    ForgetfulStore store{executor, operatorStore};
    NumberDecoder decoder;
    RecordingListener listener;
    DocumentSource source{"op/config", decoder, store, timers, listener};

    void write(const std::string &document, const std::string &key = "op/config")
    {
        Transaction transaction;
        transaction.success.push_back(Operation::put(key, document));
        operatorStore.commit(std::move(transaction), [](const Result<TransactionResult> &) {});
        executor.run();
    }

    void run(Duration time)
    {
        for (Duration passed{0}; passed <= time; passed += 50ms) {
            timers.advance(50ms);
            executor.run();
        }
    }

    void start()
    {
        source.start(0ms);
        source.setWatching(true);
        run(1s);
    }
};

TEST(DocumentSource, readsAndWatchesTheDocument)
{
    write("4");
    start();
    CHECK(listener.versions == std::vector<ConfigVersion>{4});
    CHECK_EQUAL(4, listener.storeVersion);
    write("7");
    run(100ms);
    CHECK((listener.versions == std::vector<ConfigVersion>{4, 7}));
    write("9", "op/config2");
    run(100ms);
    CHECK_EQUAL(2, listener.versions.size());
}

// Guards against orders that reach a node late, or cost a watch of their own, and against a configuration that is lost
// among them.
TEST(DocumentSource, reportsTheFurtherDocumentsOfTheSameWatch)
{
    std::vector<std::string> received;
    DocumentSource wide(
        "op/config", decoder, store, timers, listener, {.prefix = "op/", .received = [&](const KeyValue &it) {
                                                            received.push_back(it.key + "=" + it.value);
                                                        }});
    write("a", "op/rollout/menu");
    wide.start(0ms);
    wide.setWatching(true);
    run(1s);
    CHECK(listener.versions.empty());
    CHECK(received.size() >= 1);
    write("4");
    write("b", "op/rollout/menu");
    run(3s);
    CHECK(listener.versions == std::vector<ConfigVersion>{4});
    STRCMP_EQUAL("op/rollout/menu=b", received.back().c_str());
    const auto reads = store.calls().reads;
    run(5s);
    CHECK_EQUAL(reads, store.calls().reads);
}

// Guards against a node that never receives a configuration because the key did not exist when the node started.
TEST(DocumentSource, waitsForTheFirstDocument)
{
    start();
    CHECK(listener.versions.empty());
    write("3");
    run(100ms);
    CHECK(listener.versions == std::vector<ConfigVersion>{3});
}

// Guards against a malformed document that replaces the configuration in effect or ends the watch.
TEST(DocumentSource, keepsTheLastValidDocument)
{
    write("4");
    start();
    write("broken");
    run(100ms);
    CHECK_EQUAL(1, listener.refusals);
    write("5");
    run(100ms);
    CHECK((listener.versions == std::vector<ConfigVersion>{4, 5}));
}

// Guards against missing a change that was written while the node could not reach the store.
TEST(DocumentSource, readsAgainAfterAnOutage)
{
    write("4");
    start();
    store.setFaults({.unavailable = true});
    run(2s);
    CHECK_FALSE(listener.reachable);
    write("8");
    store.setFaults({});
    run(2s);
    CHECK(listener.reachable);
    CHECK((listener.versions == std::vector<ConfigVersion>{4, 8}));
}

// Guards against decoding and logging a document again each time the store is read.
TEST(DocumentSource, decodesADocumentOnceWhenItIsReadAgain)
{
    write("4");
    start();
    write("broken");
    run(100ms);
    const auto reads = store.calls().reads;
    store.setFaults({.unavailable = true});
    run(1s);
    store.setFaults({});
    run(2s);
    CHECK(listener.reachable);
    CHECK_COMPARE(store.calls().reads, >, reads);
    CHECK_EQUAL(1, listener.refusals);
    CHECK(listener.versions == std::vector<ConfigVersion>{4});
}

// Guards against a confirmed change that is skipped because the restored store gives it a lower revision.
TEST(DocumentSource, receivesAChangeThatARestoredStoreGivesALowerRevision)
{
    const auto copy = operatorStore.copy();
    write("x", "other");
    write("4");
    start();
    operatorStore.restore(copy);
    run(1s);
    write("9");
    run(100ms);
    CHECK((listener.versions == std::vector<ConfigVersion>{4, 9}));
    CHECK_EQUAL(1, listener.restorations);
}

// Guards against a confirmed change that is skipped because the restored store gives it the same revision.
TEST(DocumentSource, receivesAChangeThatARestoredStoreGivesTheSameRevision)
{
    const auto copy = operatorStore.copy();
    write("4");
    start();
    store.setFaults({.unavailable = true});
    operatorStore.restore(copy);
    write("9");
    store.setFaults({});
    run(2s);
    CHECK((listener.versions == std::vector<ConfigVersion>{4, 9}));
}

// Guards against a change that is missed because a late response of the earlier generation determines the watch.
TEST(DocumentSource, readsAgainWhenAResponseIsOlderThanTheRestoration)
{
    write("4");
    const auto copy = operatorStore.copy();
    write("x", "other");
    write("x", "other");
    store.setFaults({.answerDelay = 300ms});
    source.start(0ms);
    source.setWatching(true);
    run(100ms);
    operatorStore.restore(copy);
    write("9");
    write("x", "other");
    write("x", "other");
    run(1s);
    CHECK((listener.versions == std::vector<ConfigVersion>{4, 9}));
}

// Guards against state of the first restoration that hides the second one.
TEST(DocumentSource, receivesChangesAfterEachOfTwoRestorations)
{
    write("4");
    start();
    const auto copy = operatorStore.copy();
    for (const std::string version : {"7", "9"}) {
        operatorStore.restore(copy);
        write("x", "other");
        write(version);
        run(1s);
    }
    CHECK_EQUAL(9, listener.versions.back());
    CHECK_EQUAL(2, listener.restorations);
}

// Guards against reads without a pause while the store refuses each watch that follows them.
TEST(DocumentSource, pausesBetweenReadsWhenTheStoreRefusesWatches)
{
    write("4");
    store.forgotten = 1000;
    start();
    CHECK_COMPARE(store.calls().reads, <, 20);
    CHECK_COMPARE(store.calls().reads, >, 1);
    store.forgotten = 0;
    run(2s);
    write("9");
    run(100ms);
    CHECK((listener.versions == std::vector<ConfigVersion>{4, 9}));
}
