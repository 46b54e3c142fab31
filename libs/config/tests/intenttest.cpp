#include <hornbeam/config/configjson.h>
#include <hornbeam/config/intent.h>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

std::string firstProblem(const std::string &json)
{
    const auto intent = Intent::parse(json);
    return intent ? "" : intent.error().front().path + " " + intent.error().front().text;
}

std::string withOperation(const std::string &operation)
{
    return R"({"operations":[)" + operation + "]}";
}

SnapshotContent baseContent()
{
    return SnapshotContent{.services = {{.name = "rota"}, {.name = "watch"}},
                           .routes = {{.name = "main", .pathPrefix = "/rota", .service = "rota"}},
                           .leavingTargets = {{.address = Endpoint("127.0.0.1", 80)}}};
}

} // namespace

TEST_GROUP(Intent){};

TEST(Intent, parsesEveryOperation)
{
    const auto intent = Intent::parse(R"({"operations":[
        {"op":"setService","service":{"name":"s","slotsPerTarget":3,"attemptTimeoutMs":50,"maxRequestBytes":9}},
        {"op":"removeService","name":"t"},
        {"op":"setRoute","route":{"name":"r","host":"h.example","pathPrefix":"/a","methods":["PUT","GET"],"service":"s",
         "requiredLabels":{"track":"canary"},"idempotent":false,"identity":"content","priority":"low","timeoutMs":99}},
        {"op":"removeRoute","name":"q"},
        {"op":"markLeaving","target":"127.0.0.1:80"},
        {"op":"clearLeaving","target":"[::1]:80"}]})");
    CHECK(intent.has_value());
    CHECK_EQUAL(6, intent->operations().size());
    const auto &route = std::get<SetRoute>(intent->operations()[2]).route;
    CHECK(route.methods == (std::vector<std::string>{"GET", "PUT"}));
    CHECK(route.identity == RequestIdentitySource::Content);
    CHECK(route.priority == Priority::Low);
    CHECK_FALSE(route.idempotent);
    const auto again = Intent::fromJson(intent->toJson(), "$");
    CHECK(again.has_value());
    CHECK(*again == *intent);
}

// Guards against mistakes in an intent that are ignored; each must be reported with the JSON path of the value.
TEST(Intent, reportsProblemsWithTheirPath)
{
    const auto check = [](const char *expected, const std::string &json) {
        STRCMP_EQUAL(expected, firstProblem(json).c_str());
    };
    check("$ is not valid JSON", "{");
    check("$ must be an object", "[]");
    check("$.operations is missing", "{}");
    check("$.operations must be an array", R"({"operations":{}})");
    check("$.operations must have 1..20000 elements", withOperation(""));
    check("$.extra is not a known key", R"({"operations":[{"op":"removeRoute","name":"a"}],"extra":1})");
    check("$.operations[0].op must be one of setService, removeService, setRoute, removeRoute, markLeaving, "
          "clearLeaving, "
          "setAccount, removeAccount",
          withOperation(R"({"op":"set"})"));
    check("$.operations[0].name is missing", withOperation(R"({"op":"removeRoute"})"));
    check("$.operations[0].service.slotsPerTarget must be an integer",
          withOperation(R"({"op":"setService","service":{"name":"a","slotsPerTarget":1.5}})"));
    check("$.operations[0].service.slotsPerTarget must be 0..4294967295",
          withOperation(R"({"op":"setService","service":{"name":"a","slotsPerTarget":-1}})"));
    check("$.operations[0].service.slotsPerTarget must be 0..10000",
          withOperation(R"({"op":"setService","service":{"name":"a","slotsPerTarget":10001}})"));
    check("$.operations[0].route.timeoutMs must be 10..3600000",
          withOperation(R"({"op":"setRoute","route":{"name":"a","service":"s","timeoutMs":9}})"));
    check("$.operations[0].route.methods[1] must be a string",
          withOperation(R"({"op":"setRoute","route":{"name":"a","service":"s","methods":["GET",1]}})"));
    check(R"($.operations[0].route["a b"] is not a known key)",
          withOperation(R"({"op":"setRoute","route":{"name":"a","service":"s","a b":1}})"));
    check("$.operations[0].target must be an IP address and a port, for example 192.0.2.1:80",
          withOperation(R"({"op":"markLeaving","target":"host:80"})"));
    check("$ has the key \"op\" twice in one object", withOperation(R"({"op":"removeRoute","op":"x","name":"a"})"));
    check("$.operations[1] changes the same resource as $.operations[0]",
          withOperation(R"({"op":"removeRoute","name":"a"},{"op":"removeRoute","name":"a"})"));
    check("$ is nested deeper than 32 levels", std::string(40, '[') + std::string(40, ']'));
}

TEST(Intent, appliesItsOperationsTogether)
{
    // The service is removed before its route is moved to another one; one by one, the first operation would be
    // refused.
    const auto intent = Intent::parse(R"({"operations":[{"op":"removeService","name":"rota"},
        {"op":"setRoute","route":{"name":"main","pathPrefix":"/rota","service":"watch"}},
        {"op":"clearLeaving","target":"127.0.0.1:80"},{"op":"markLeaving","target":"127.0.0.1:81"}]})");
    const auto effect = intent->applyTo(baseContent());
    CHECK(effect.refusals.empty());
    CHECK_EQUAL(1, effect.content.services.size());
    STRCMP_EQUAL("watch", effect.content.routes[0].service.c_str());
    CHECK_EQUAL(81, effect.content.leavingTargets[0].address.port());
}

// Guards against versions with routes whose service does not exist, and against intents that were written for another
// configuration and refer to resources that the base does not have.
TEST(Intent, refusesOperationsThatDoNotFitTheBase)
{
    const auto intent = Intent::parse(R"({"operations":[{"op":"removeService","name":"rota"},
        {"op":"removeRoute","name":"none"},{"op":"clearLeaving","target":"127.0.0.1:81"},
        {"op":"setRoute","route":{"name":"other","pathPrefix":"/rota","service":"watch"}}]})");
    const auto refusals = intent->applyTo(baseContent()).refusals;
    CHECK_EQUAL(4, refusals.size());
    STRCMP_EQUAL("$.operations[1]", refusals[0].path.c_str());
    STRCMP_CONTAINS("there is no route \"none\"", refusals[0].text.c_str());
    STRCMP_CONTAINS("not marked as leaving", refusals[1].text.c_str());
    STRCMP_EQUAL("$.operations[3]", refusals[2].path.c_str());
    STRCMP_CONTAINS("same requests", refusals[2].text.c_str());
    STRCMP_EQUAL("$", refusals[3].path.c_str());
    STRCMP_CONTAINS("there is no service \"rota\"", refusals[3].text.c_str());
}
