#include "recordinglistener.h"

#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/manualexecutor.h>
#include <hornbeam/store/storemodel.h>

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

Transaction createOnly(const std::string &key, const std::string &value, LeaseId lease = 0)
{
    return {.compares = {{.key = key, .field = Compare::Field::CreateRevision, .revision = 0}},
            .success = {Operation::put(key, value, lease)},
            .failure = {Operation::get(key)}};
}

} // namespace

TEST_GROUP(InMemoryStore)
{
    ManualExecutor executor;
    FakeTimerService timers;
    InMemoryStore store{executor, timers, {.requestTimeout = 100ms}};
    RecordingListener listener;

    Result<TransactionResult> commit(Transaction transaction)
    {
        std::optional<Result<TransactionResult>> answer;
        store.commit(std::move(transaction), [&](Result<TransactionResult> result) { answer = std::move(result); });
        CHECK_FALSE(answer.has_value());
        executor.run();
        return answer ? *answer : makeError(ErrorCode::Internal, "no answer yet");
    }

    std::string valueOf(const std::string &key)
    {
        std::string value;
        store.range({.key = key}, [&](Result<RangeResult> result) {
            value = result && !result->entries.empty() ? result->entries.front().value : "";
        });
        executor.run();
        return value;
    }

    LeaseId grant(std::chrono::seconds timeToLive)
    {
        LeaseId id = 0;
        store.grantLease(timeToLive, [&](Result<LeaseGrant> result) { id = result->id; });
        executor.run();
        return id;
    }
};

// Guards against two writers that both get the result that they created a key.
TEST(InMemoryStore, createsAKeyOnce)
{
    CHECK(commit(createOnly("/a", "1"))->succeeded);
    const auto second = commit(createOnly("/a", "2"));
    CHECK_FALSE(second->succeeded);
    STRCMP_EQUAL("1", second->results.front().entries.front().value.c_str());
}

// Guards against a nested transaction whose failed comparison makes the others of its batch fail.
TEST(InMemoryStore, decidesNestedTransactionsIndependently)
{
    commit(createOnly("/b", "old"));
    const auto result = commit(
        {.compares = {},
         .success = {Operation::transaction(createOnly("/a", "1")), Operation::transaction(createOnly("/b", "1"))},
         .failure = {}});
    CHECK(result->results.at(0).nested.front().succeeded);
    CHECK_FALSE(result->results.at(1).nested.front().succeeded);
    STRCMP_EQUAL("1", valueOf("/a").c_str());
    STRCMP_EQUAL("old", valueOf("/b").c_str());
}

// Guards against batches that pass in tests but that etcd rejects: a transaction must not write a key twice.
TEST(InMemoryStore, refusesToWriteAKeyTwiceInATransaction)
{
    const auto result = commit(
        {.compares = {},
         .success = {Operation::transaction(createOnly("/a", "1")), Operation::transaction(createOnly("/a", "2"))},
         .failure = {}});
    CHECK(ErrorCode::InvalidArgument == result.error().code());
    CHECK_EQUAL(1, store.revision());
}

TEST(InMemoryStore, expiresLeasesWithTheirKeys)
{
    const LeaseId lease = grant(5s);
    commit(createOnly("/a", "1", lease));
    timers.advance(4s);
    STRCMP_EQUAL("1", valueOf("/a").c_str());
    timers.advance(1s);
    STRCMP_EQUAL("", valueOf("/a").c_str());
    CHECK(ErrorCode::NotFound == commit(createOnly("/a", "2", lease)).error().code());
}

// Guards against a watch that misses the changes between the read before it and its start.
TEST(InMemoryStore, watchesFromAStartRevision)
{
    commit(createOnly("/p/a", "1"));
    commit(createOnly("/p/b", "2"));
    const auto watch = store.watch({.prefix = "/p/", .startRevision = 3}, listener);
    commit({.compares = {}, .success = {Operation::remove("/p/a")}, .failure = {}});
    CHECK_EQUAL(2, listener.changes.size());
    CHECK_EQUAL(3, listener.changes.at(0).modRevision);
    CHECK_EQUAL(0, listener.changes.at(1).createRevision);
    CHECK_EQUAL(4, listener.changes.at(1).modRevision);
}

TEST(InMemoryStore, endsWatchesWhenItBecomesUnavailable)
{
    const auto watch = store.watch({.prefix = "/"}, listener);
    store.setFaults({.unavailable = true});
    executor.run();
    CHECK(listener.end && ErrorCode::Unavailable == listener.end->code());
    CHECK(ErrorCode::Unavailable == commit(createOnly("/a", "1")).error().code());
    store.setFaults({});
    STRCMP_EQUAL("", valueOf("/a").c_str());
}

TEST(InMemoryStore, losesResponsesAfterTheWrite)
{
    store.setFaults({.loseAnswers = 1});
    CHECK(ErrorCode::OutcomeUnknown == commit(createOnly("/a", "1")).error().code());
    STRCMP_EQUAL("1", valueOf("/a").c_str());
}

// Guards against confusing a lost request with a lost response: a write whose request is lost has no effect.
TEST(InMemoryStore, losesRequestsBeforeTheWrite)
{
    store.setFaults({.loseRequests = 1});
    CHECK(ErrorCode::OutcomeUnknown == commit(createOnly("/a", "1")).error().code());
    STRCMP_EQUAL("", valueOf("/a").c_str());
}

TEST(InMemoryStore, reportsUnknownOutcomeWhenAWriteTakesEffectAfterTheTimeout)
{
    store.setFaults({.applyDelay = 150ms});
    std::optional<ErrorCode> code;
    store.commit(createOnly("/a", "1"), [&](Result<TransactionResult> result) { code = result.error().code(); });
    timers.advance(100ms);
    executor.run();
    CHECK(ErrorCode::OutcomeUnknown == code);
    timers.advance(50ms);
    store.setFaults({});
    STRCMP_EQUAL("1", valueOf("/a").c_str());
}

TEST(InMemoryStore, servesStaleReads)
{
    commit(createOnly("/a", "1"));
    commit({.compares = {}, .success = {Operation::put("/a", "2")}, .failure = {}});
    commit({.compares = {}, .success = {Operation::remove("/a")}, .failure = {}});
    store.setFaults({.staleReads = 1});
    STRCMP_EQUAL("2", valueOf("/a").c_str());
    store.setFaults({.staleReads = 2});
    STRCMP_EQUAL("1", valueOf("/a").c_str());
}

TEST(InMemoryStore, sharesItsStateBetweenHandles)
{
    ManualExecutor otherExecutor;
    InMemoryStore other(otherExecutor, store);
    const auto watch = store.watch({.prefix = "/"}, listener);
    other.commit(createOnly("/a", "1"), [](Result<TransactionResult> result) { CHECK(result->succeeded); });
    otherExecutor.run();
    executor.run();
    CHECK_EQUAL(1, listener.changes.size());
}

TEST(InMemoryStore, isRestoredFromACopy)
{
    commit(createOnly("/a", "1"));
    const auto copy = store.copy();
    const auto lost = grant(10s);
    commit(createOnly("/b", "2", lost));
    const auto watch = store.watch({.prefix = "/", .startRevision = store.revision() + 1}, listener);
    store.restore(copy);
    executor.run();
    CHECK_EQUAL(2, store.revision());
    STRCMP_EQUAL("1", valueOf("/a").c_str());
    STRCMP_EQUAL("", valueOf("/b").c_str());
    CHECK(listener.end && ErrorCode::Conflict == listener.end->code());
    CHECK_EQUAL(lost, grant(10s));
    CHECK_EQUAL(3, commit(createOnly("/c", "3"))->revision);
}
