#include <hornbeam/config/plan.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

Plan samplePlan()
{
    const SnapshotContent base{.services = {{.name = "a"}}, .routes = {}, .leavingTargets = {}};
    const SnapshotContent target{.services = {{.name = "a", .slotsPerTarget = 4}},
                                 .routes = {{.name = "r", .service = "a"}},
                                 .leavingTargets = {{.address = Endpoint("127.0.0.1", 80)}}};
    Plan plan;
    plan.id = std::string(32, '5');
    plan.baseVersion = 6;
    plan.baseDigest = Digest::of("base");
    plan.targetVersion = 7;
    plan.targetDigest = Digest::of("target");
    plan.changes = changesBetween(base, target);
    plan.refusals = {{.path = "$.operations[0]", .text = "no"}};
    plan.notices = {"careful"};
    plan.impact = {.proxies = 3, .targets = 4};
    plan.intent = *Intent::parse(R"({"operations":[{"op":"removeRoute","name":"x"}]})");
    plan.confirmedVersion = 7;
    return plan;
}

} // namespace

TEST_GROUP(Plan){};

TEST(Plan, readsWhatItWrites)
{
    const auto plan = samplePlan();
    CHECK_EQUAL(3, plan.changes.size());
    const auto read = Plan::fromJson(plan.toJson());
    CHECK(read.has_value());
    CHECK(*read == plan);
}

TEST(Plan, refusesMalformedDocuments)
{
    const auto json = samplePlan().toJson();
    CHECK_FALSE(Plan::fromJson("{}").has_value());
    CHECK_FALSE(Plan::fromJson(json.substr(0, json.size() - 1)).has_value());
    CHECK_FALSE(Plan::fromJson("{\"extra\":1," + json.substr(1)).has_value());
}

// Guards against ids in requests that address other keys of the store: plan keys are built from them.
TEST(Plan, recognisesPlanIds)
{
    CHECK(isPlanId("0123456789abcdef0123456789abcdef"));
    CHECK_FALSE(isPlanId("0123456789abcdef0123456789abcde"));
    CHECK_FALSE(isPlanId("0123456789abcdef0123456789abcde/"));
    CHECK_FALSE(isPlanId(""));
}
