#include <hornbeam/config/configjson.h>

#include <nlohmann/json.hpp>

// CppUTest redefines "new", so it comes after the standard library and nlohmann-json.
#include "planfixture.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Loses the response to the first write of the head and is unreachable from then on. */
class StoreUnreachableAfterHeadWrite : public KeyValueStore
{
public:
    explicit StoreUnreachableAfterHeadWrite(InMemoryStore &store)
        : m_store(store)
    {
    }

    void range(RangeRequest request, Callback<RangeResult> callback) override
    {
        m_store.range(std::move(request), std::move(callback));
    }

    void commit(Transaction transaction, Callback<TransactionResult> callback) override
    {
        if (m_unreachable) {
            callback(makeError(ErrorCode::Unavailable, "unreachable"));
            return;
        }
        m_unreachable = !transaction.success.empty() && transaction.success[0].kind == Operation::Kind::Put
            && transaction.success[0].key == ConfigRepository::headKey();
        m_store.commit(std::move(transaction), [lost = m_unreachable, callback](Result<TransactionResult> result) {
            callback(lost ? makeError(ErrorCode::OutcomeUnknown, "lost") : std::move(result));
        });
    }

    void grantLease(std::chrono::seconds timeToLive, Callback<LeaseGrant> callback) override
    {
        m_store.grantLease(timeToLive, std::move(callback));
    }

    void keepLeaseAlive(LeaseId lease, Callback<LeaseGrant> callback) override
    {
        m_store.keepLeaseAlive(lease, std::move(callback));
    }

    void revokeLease(LeaseId lease, Callback<bool> callback) override
    {
        m_store.revokeLease(lease, std::move(callback));
    }

    std::unique_ptr<Watch> watch(WatchRequest request, WatchListener &listener) override
    {
        return m_store.watch(std::move(request), listener);
    }

private:
    InMemoryStore &m_store;
    bool m_unreachable = false;
};

} // namespace

TEST_GROUP(PlanService)
{
    ManualExecutor executor;
    FakeTimerService timers;
    InMemoryStore shared{executor, timers, {.requestTimeout = 100ms}};
    TestNode first{executor, shared};
    TestNode second{executor, shared};

    std::size_t countKeys(const std::string &prefix)
    {
        std::size_t n = 0;
        shared.range({.key = prefix, .prefix = true, .limit = 0, .keysOnly = true},
                     [&](const Result<RangeResult> &result) { n = result->entries.size(); });
        executor.run();
        return n;
    }
};

TEST(PlanService, planHasNoEffectUntilConfirmed)
{
    const auto plan = first.plan(R"({"operations":[{"op":"setService","service":{"name":"rota"}},
        {"op":"setRoute","route":{"name":"r","service":"rota"}},{"op":"markLeaving","target":"127.0.0.1:80"}]})");
    CHECK_EQUAL(0, plan.baseVersion);
    CHECK_EQUAL(1, plan.targetVersion);
    CHECK_EQUAL(3, plan.changes.size());
    CHECK_EQUAL(9, plan.impact.proxies);
    CHECK_EQUAL(11, plan.impact.targets);
    CHECK_EQUAL(0, first.load()->version());
    CHECK(*second.read(plan.id) == plan);

    const auto confirmed = second.confirm(plan.id);
    CHECK(confirmed.has_value());
    CHECK_EQUAL(1, confirmed->version);
    const auto loaded = first.load();
    CHECK(loaded->contentDigest() == plan.targetDigest);
    CHECK((*confirmed->delta->applyTo(*Snapshot::empty()))->contentDigest() == plan.targetDigest);
    CHECK_EQUAL(1, *first.read(plan.id)->confirmedVersion);
}

// Guards against merging the plans of two operators. The plan confirmed second has an outdated base: it must not take
// effect, and its operator learns what it would change now.
TEST(PlanService, confirmOfAnOutdatedPlanReportsTheCurrentChanges)
{
    const auto mine = first.plan(setServiceIntent("mine"));
    const auto other = second.plan(setServiceIntent("other"));
    CHECK(second.confirm(other.id).has_value());
    const auto result = first.confirm(mine.id);
    CHECK_FALSE(result.has_value());
    CHECK(result.error().error.code() == ErrorCode::Conflict);
    CHECK_EQUAL(1, result.error().conflict->currentVersion);
    CHECK_EQUAL(1, result.error().conflict->changes.size());
    STRCMP_EQUAL("mine", result.error().conflict->changes[0].name.c_str());
    const auto loaded = first.load();
    CHECK(loaded->findService("mine") == nullptr);
    CHECK(loaded->findService("other") != nullptr);
}

// Guards against two plans with the same base that both take effect when they are confirmed at the same time.
TEST(PlanService, exactlyOneOfTwoConcurrentConfirmsSucceeds)
{
    const auto mine = first.plan(setServiceIntent("mine"));
    const auto other = second.plan(setServiceIntent("other"));
    const auto mineResult = std::make_shared<std::optional<ConfirmResult>>();
    const auto otherResult = std::make_shared<std::optional<ConfirmResult>>();
    first.startConfirm(mine.id, mineResult);
    second.startConfirm(other.id, otherResult);
    executor.run();
    CHECK((*mineResult)->has_value() != (*otherResult)->has_value());
    const auto &loser = (*mineResult)->has_value() ? **otherResult : **mineResult;
    CHECK(loser.error().error.code() == ErrorCode::Conflict);
    CHECK_EQUAL(1, first.load()->version());
    CHECK_EQUAL(1, first.load()->services().size());
}

// Guards against a second version when the same plan is confirmed on two nodes at the same time, or again later.
TEST(PlanService, confirmIsIdempotent)
{
    const auto plan = first.plan(setServiceIntent("a"));
    const auto one = std::make_shared<std::optional<ConfirmResult>>();
    const auto two = std::make_shared<std::optional<ConfirmResult>>();
    first.startConfirm(plan.id, one);
    second.startConfirm(plan.id, two);
    executor.run();
    CHECK_EQUAL(1, (**one)->version);
    CHECK_EQUAL(1, (**two)->version);
    first.configuration.snapshot = first.load();
    CHECK_EQUAL(2, first.applyIntent(setServiceIntent("b")));
    CHECK_EQUAL(1, second.confirmedVersion(plan.id));
    CHECK_EQUAL(2, first.load()->version());
}

// Guards against a second version or a false conflict when the response to the compare-and-swap is lost: the repetition
// finds the head that the first attempt has written.
TEST(PlanService, confirmSucceedsWhenTheResponseToItsSwapIsLost)
{
    const auto plan = first.plan(setServiceIntent("a"));
    first.store.setFaults({.loseAnswersPrefix = ConfigRepository::headKey()});
    const auto result = first.confirm(plan.id);
    CHECK(result.has_value());
    CHECK_EQUAL(1, result->version);
    CHECK(result->snapshot != nullptr);
    CHECK_EQUAL(1, second.confirmedVersion(plan.id));
    CHECK_EQUAL(1, first.load()->version());
}

// Guards against a confirm that fails because the store did not receive a request to write a piece.
TEST(PlanService, retriesPieceWritesWhoseRequestWasLost)
{
    const auto plan = first.plan(setServiceIntent("a"));
    const auto result = std::make_shared<std::optional<ConfirmResult>>();
    first.startConfirm(plan.id, result);
    // The state has already been read; both lost requests are writes of the piece.
    first.store.setFaults({.loseRequests = 2});
    executor.run();
    CHECK(result->has_value());
    CHECK((*result)->has_value());
    CHECK_EQUAL(1, (**result)->version);
}

// Guards against reporting that a plan has no effect although its compare-and-swap has taken effect or still may.
TEST(PlanService, reportsUnknownOutcomeWhenTheStoreBecomesUnreachable)
{
    const auto plan = first.plan(setServiceIntent("a"));
    StoreUnreachableAfterHeadWrite store(shared);
    PlanService service(store, first.configuration, first.fleet);
    std::optional<ConfirmResult> result;
    service.confirm(plan.id, [&](ConfirmResult answer) { result = std::move(answer); });
    executor.run();
    CHECK_FALSE(result->has_value());
    CHECK(result->error().error.code() == ErrorCode::OutcomeUnknown);
    CHECK_EQUAL(1, first.confirmedVersion(plan.id));
}

TEST(PlanService, reportsUnavailableDuringAnOutageAndRecovers)
{
    const auto plan = first.plan(setServiceIntent("a"));
    first.store.setFaults({.unavailable = true});
    CHECK(first.confirmError(plan.id) == ErrorCode::Unavailable);
    CHECK(first.tryPlan(setServiceIntent("b")).error().code() == ErrorCode::Unavailable);
    CHECK(first.read(plan.id).error().code() == ErrorCode::Unavailable);
    first.store.setFaults({});
    CHECK_EQUAL(0, first.load()->version());
    CHECK_EQUAL(1, first.confirmedVersion(plan.id));
}

TEST(PlanService, expiresPlans)
{
    const auto plan = first.plan(setServiceIntent("a"));
    const auto confirmed = first.plan(setServiceIntent("b"));
    CHECK_EQUAL(1, first.confirmedVersion(confirmed.id));
    timers.advance(3601s);
    CHECK(first.confirmError(plan.id) == ErrorCode::NotFound);
    CHECK(first.read(plan.id).error().code() == ErrorCode::NotFound);
    CHECK_EQUAL(0, countKeys("/hornbeamring/plans/"));
    // The head still has the id of the plan that produced it.
    CHECK_EQUAL(1, first.confirmedVersion(confirmed.id));
    CHECK(first.confirmError("../config/version/head") == ErrorCode::NotFound);
}

TEST(PlanService, refusedPlanCannotBeConfirmed)
{
    const auto plan = first.plan(R"({"operations":[{"op":"setRoute","route":{"name":"r","service":"none"}}]})");
    CHECK_EQUAL(1, plan.refusals.size());
    STRCMP_EQUAL("$.operations[0]", plan.refusals[0].path.c_str());
    CHECK(first.confirmError(plan.id) == ErrorCode::InvalidArgument);
    CHECK_EQUAL(0, first.load()->version());
    CHECK_EQUAL(1, first.applyIntent(setServiceIntent("a")));
    const auto again = first.plan(setServiceIntent("a"));
    STRCMP_EQUAL("change nothing", again.refusals[0].text.c_str());
}

// Guards against a plan that rolls the fleet back because the store returned stale data or was restored from a backup.
TEST(PlanService, doesNotPlanOnABaseOlderThanTheAppliedOne)
{
    first.applyIntent(setServiceIntent("a"));
    first.applyIntent(setServiceIntent("b"));
    first.store.setFaults({.staleReads = 3});
    const auto plan = first.plan(setServiceIntent("c"));
    first.store.setFaults({});
    CHECK_EQUAL(2, plan.baseVersion);
    CHECK_EQUAL(3, plan.targetVersion);
    CHECK_EQUAL(1, plan.notices.size());
    STRCMP_CONTAINS("the base is version 2, which this node has applied", plan.notices[0].c_str());
    CHECK_EQUAL(3, first.confirmedVersion(plan.id));
    CHECK_EQUAL(3, first.load()->services().size());
}

// Guards against reusing a version number after the store was restored from a backup: nodes that have already applied a
// version of that number would not apply the new one.
TEST(PlanService, versionsContinueAboveTheAppliedOneAfterAStoreRestore)
{
    first.applyIntent(setServiceIntent("a"));
    auto content = first.configuration.snapshot->content();
    content.services.push_back({.name = "lost-in-backup"});
    first.configuration.snapshot = *Snapshot::make(40, content);
    const auto plan = first.plan(setServiceIntent("c"));
    CHECK_EQUAL(1, plan.notices.size());
    CHECK_EQUAL(41, plan.targetVersion);
    // A node that has applied only the store's version does not have the plan's base.
    second.configuration.snapshot = second.load();
    CHECK(second.confirmError(plan.id) == ErrorCode::Conflict);
    CHECK_EQUAL(41, first.confirmedVersion(plan.id));
    const auto loaded = first.load();
    CHECK_EQUAL(41, loaded->version());
    CHECK_EQUAL(3, loaded->services().size());
}

TEST(PlanService, reportsUnavailableWhileOnlyAPeerHasTheNewestVersion)
{
    first.applyIntent(setServiceIntent("a"));
    const auto plan = first.plan(setServiceIntent("b"));
    first.configuration.peerVersion = 5;
    CHECK(first.tryPlan(setServiceIntent("c")).error().code() == ErrorCode::Unavailable);
    CHECK(first.confirmError(plan.id) == ErrorCode::Unavailable);
    first.configuration.peerVersion = 1;
    CHECK_EQUAL(2, first.confirmedVersion(plan.id));
}

// Guards against exceeding the store's limits on values and transactions with an intent whose plan needs several
// values.
TEST(PlanService, confirmsALargePlan)
{
    nlohmann::json operations = nlohmann::json::array();
    operations.push_back({{"op", "setService"}, {"service", {{"name", "s"}}}});
    for (int i = 0; i < 10000; ++i) {
        // Digests hardly compress, so the plan needs more than one value.
        const auto name = Digest::of(std::to_string(i)).hex();
        const Route route{.name = name, .pathPrefix = "/" + name + Digest::of(name).hex(), .service = "s"};
        operations.push_back({{"op", "setRoute"}, {"route", toJson(route)}});
    }
    const auto plan = first.plan(nlohmann::json{{"operations", operations}}.dump());
    CHECK(plan.refusals.empty());
    CHECK(countKeys("/hornbeamring/plans/") > 1);
    CHECK(*second.read(plan.id) == plan);
    CHECK_EQUAL(1, second.confirmedVersion(plan.id));
    CHECK_EQUAL(10000, first.load()->routes().size());
}
