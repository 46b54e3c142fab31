#pragma once

#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/config/planservice.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/manualexecutor.h>

#include <CppUTest/TestHarness.h>

#include <optional>

namespace Hornbeam {

class FakeConfiguration : public AppliedConfiguration
{
public:
    SnapshotPtr applied() const override
    {
        return snapshot;
    }

    ConfigVersion newestKnownVersion() const override
    {
        return std::max(peerVersion, snapshot->version());
    }

    SnapshotPtr snapshot = Snapshot::empty();
    ConfigVersion peerVersion = 0; ///< The highest version that a peer has reported.
};

/**
 * A fleet of nine nodes. Each service counts as ten targets and each address as one, so that a test sees both numbers
 * in the sum.
 */
class FakeFleet : public FleetView
{
public:
    std::size_t nodeCount() const override
    {
        return 9;
    }

    std::size_t targetCount(const std::vector<std::string> &services,
                            const std::vector<Endpoint> &addresses) const override
    {
        return 10 * services.size() + addresses.size();
    }
};

/**
 * A node with its own InMemoryStore, whose state it shares with other nodes, its applied configuration and a plan
 * service.
 */
class TestNode
{
public:
    TestNode(ManualExecutor &sharedExecutor, const InMemoryStore &shared)
        : executor(sharedExecutor)
        , store(sharedExecutor, shared)
        , repository(store)
    {
    }

    Plan plan(const std::string &json)
    {
        const auto result = tryPlan(json);
        CHECK_TEXT(result.has_value(), result ? "" : result.error().message().c_str());
        return *result;
    }

    Result<Plan> tryPlan(const std::string &json)
    {
        auto intent = Intent::parse(json);
        CHECK(intent.has_value());
        Result<Plan> answer = makeError(ErrorCode::Internal, "no answer");
        planService.create(*std::move(intent), [&](Result<Plan> result) { answer = std::move(result); });
        executor.run();
        return answer;
    }

    Result<Plan> read(const std::string &id)
    {
        Result<Plan> answer = makeError(ErrorCode::Internal, "no answer");
        planService.read(id, [&](Result<Plan> result) { answer = std::move(result); });
        executor.run();
        return answer;
    }

    ConfirmResult confirm(const std::string &id)
    {
        const auto answer = std::make_shared<std::optional<ConfirmResult>>();
        startConfirm(id, answer);
        executor.run();
        CHECK(answer->has_value());
        return **answer;
    }

    /** Starts to confirm a plan. Once the executor has run, @p answer has the result. */
    void startConfirm(const std::string &id, const std::shared_ptr<std::optional<ConfirmResult>> &answer)
    {
        planService.confirm(id, [answer](ConfirmResult result) { *answer = std::move(result); });
    }

    /** Creates and confirms a plan and applies the result to this node. */
    ConfigVersion applyIntent(const std::string &json)
    {
        const auto result = confirm(plan(json).id);
        CHECK_TEXT(result.has_value(), result ? "" : result.error().error.message().c_str());
        configuration.snapshot = result->snapshot;
        return result->version;
    }

    /** Loads the store's version; pieces that @p knownSnapshot also contains are not read from the store. */
    Result<SnapshotPtr> tryLoad(const SnapshotPtr &knownSnapshot = nullptr)
    {
        Result<SnapshotPtr> answer = makeError(ErrorCode::Internal, "no answer");
        repository.loadNewest(knownSnapshot, [&](Result<SnapshotPtr> result) { answer = std::move(result); });
        executor.run();
        return answer;
    }

    /** Confirms a plan; returns the confirmed version, or 0 when the confirm failed. */
    ConfigVersion confirmedVersion(const std::string &id)
    {
        const auto result = confirm(id);
        return result ? result->version : 0;
    }

    /** Confirms a plan; returns the error code, or nothing when the confirm succeeded. */
    std::optional<ErrorCode> confirmError(const std::string &id)
    {
        const auto result = confirm(id);
        return result ? std::nullopt : std::optional(result.error().error.code());
    }

    /** Like tryLoad(), but the test fails if there is an error. */
    SnapshotPtr load(const SnapshotPtr &knownSnapshot = nullptr)
    {
        const auto result = tryLoad(knownSnapshot);
        CHECK_TEXT(result.has_value(), result ? "" : result.error().message().c_str());
        return *result;
    }

    ManualExecutor &executor;
    InMemoryStore store;
    ConfigRepository repository;
    FakeConfiguration configuration;
    FakeFleet fleet;
    PlanService planService{store, configuration, fleet, {.planLifetime = std::chrono::seconds(3600)}};
};

/** Returns the JSON of an intent that adds or replaces a service. */
inline std::string setServiceIntent(const std::string &name)
{
    return R"({"operations":[{"op":"setService","service":{"name":")" + name + R"("}}]})";
}

} // namespace Hornbeam
