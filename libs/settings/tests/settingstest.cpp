#include <hornbeam/settings/settings.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

const std::string validSettings = R"({
    "node": {"zone": "tampere", "region": "fi-south"},
    "traffic": {"listen": "127.0.0.1:8080"},
    "admin": {"listen": "127.0.0.1:8081"},
    "peer": {"listen": "127.0.0.1:8082", "seeds": ["127.0.0.2:8082"]},
    "store": {"endpoints": ["127.0.0.1:2379"]}
})";

std::string replaced(const std::string &from, const std::string &to)
{
    auto text = validSettings;
    const auto position = text.find(from);
    CHECK(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

bool reports(const std::string &json, const std::string &path)
{
    const auto settings = Settings::parse(json);
    if (settings) {
        return false;
    }
    const auto &problems = settings.error();
    return std::any_of(problems.begin(), problems.end(), [&](const auto &it) { return it.path == path; });
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, acceptsValidSettingsWithDefaults)
{
    const auto settings = Settings::parse(validSettings);
    CHECK(settings.has_value());
    STRCMP_EQUAL("127.0.0.1:8082", settings->peer.advertise.toString().c_str());
    CHECK_EQUAL(2, settings->traffic.threads);
}

// Guards against a misspelt key that is ignored, so that the default stays in effect.
TEST(Settings, refusesUnknownKeys)
{
    CHECK(reports(replaced("\"zone\"", "\"zones\": 1, \"zone\""), "$.node.zones"));
}

TEST(Settings, refusesMissingKeys)
{
    CHECK(reports(replaced("\"zone\": \"tampere\", ", ""), "$.node.zone"));
    CHECK(reports("{}", "$.traffic"));
}

TEST(Settings, refusesWrongTypes)
{
    CHECK(reports(replaced("\"tampere\"", "5"), "$.node.zone"));
    CHECK(reports(replaced("\"127.0.0.2:8082\"", "\"seed-host:8082\""), "$.peer.seeds[0]"));
    CHECK(reports("[]", "$"));
}

// Guards against names with special characters, for example '/', which would change the structure of store keys and
// metric labels.
TEST(Settings, refusesNamesWithInvalidCharacters)
{
    CHECK(reports(replaced("\"tampere\"", "\"tampere/1\""), "$.node.zone"));
}

// Guards against values that wrap around when they are converted to a narrower type.
TEST(Settings, refusesValuesOutOfRange)
{
    CHECK(reports(replaced("\"127.0.0.1:8080\"", "\"127.0.0.1:8080\", \"threads\": 0"), "$.traffic.threads"));
    CHECK(reports(replaced("\"127.0.0.1:8080\"", "\"127.0.0.1:8080\", \"threads\": 18446744073709551615"),
                  "$.traffic.threads"));
}

TEST(Settings, reportsAllProblemsAtOnce)
{
    const auto settings = Settings::parse("{}");
    CHECK_FALSE(settings.has_value());
    CHECK(settings.error().size() >= 5);
}

TEST(Settings, readsPlatformSettings)
{
    const auto settings = Settings::parse(R"({
        "environment": "platform",
        "node": {"zone": "tampere", "region": "fi-south", "targetService": "rota"},
        "traffic": {"listen": "127.0.0.1:8080", "relayListen": "127.0.0.1:8090", "retryBudgetRatio": 0.2,
                    "retryBudgetReserve": 56, "linkMegabitsPerSecond": 5.0, "stopNoticeMs": 2500},
        "admin": {"listen": "127.0.0.1:8081", "healthListen": "127.0.0.1:8083", "metricsListen": "127.0.0.1:8084"},
        "peer": {"listen": "127.0.0.1:8082"},
        "store": {"endpoints": ["127.0.0.1:2379"]}
    })");
    CHECK(settings.has_value());
    CHECK(settings->environment == Environment::Platform);
    STRCMP_EQUAL("rota", settings->node.targetService.c_str());
    STRCMP_EQUAL("127.0.0.1:8090", settings->traffic.relayListen->toString().c_str());
    DOUBLES_EQUAL(5, settings->traffic.linkMegabitsPerSecond, 0.001);
    CHECK_EQUAL(56, settings->traffic.retryBudgetReserve);
    STRCMP_EQUAL("127.0.0.1:8084", settings->admin.metricsListen->toString().c_str());
}

// Guards against a stop that cuts off requests although the platform would leave it more time, or is killed first.
TEST(Settings, derivesTheDrainBoundFromTheGracePeriod)
{
    const auto withTraffic = [](const std::string &setting) {
        return replaced("\"127.0.0.1:8080\"", "\"127.0.0.1:8080\", " + setting);
    };
    CHECK(Settings::parse(withTraffic("\"stopGraceSeconds\": 10"))->traffic.drainBound == 9500ms);
    CHECK(Settings::parse(withTraffic("\"stopGraceSeconds\": 2.5"))->traffic.drainBound == 2000ms);
    CHECK(Settings::parse(withTraffic("\"drainBoundMs\": 700"))->traffic.drainBound == 700ms);
    CHECK(reports(withTraffic("\"stopGraceSeconds\": 0"), "$.traffic.stopGraceSeconds"));
    CHECK(reports(withTraffic("\"stopGraceSeconds\": 6, \"drainBoundMs\": 700"), "$.traffic.stopGraceSeconds"));
}

// Guards against a misspelt environment, with which the node would start with other interfaces than its operators
// expect.
// Guards against roll-outs in a deployment that has not asked for them.
TEST(Settings, hasRolloutsOnlyWhereTheSectionIs)
{
    CHECK_FALSE(Settings::parse(validSettings)->rollout.has_value());
    const auto with = [](const std::string &section) {
        return replaced("\"store\"", "\"rollout\": " + section + ", \"store\"");
    };
    const auto settings = Settings::parse(with(R"({"canaryShare": 0.05, "canarySlack": 7, "rollbackMs": 3000})"));
    CHECK(settings.has_value());
    CHECK(settings->rollout
          == (RolloutSettings{.canaryShare = 0.05, .canarySlack = 7, .rollbackTime = std::chrono::seconds(3)}));
    CHECK(reports(with(R"({"canaryShare": 1.5})"), "$.rollout.canaryShare"));
    CHECK(reports(with(R"({"share": 1})"), "$.rollout.share"));
}

TEST(Settings, refusesAnUnknownEnvironment)
{
    CHECK(reports(replaced("\"node\"", "\"environment\": \"plattform\", \"node\""), "$.environment"));
    CHECK(reports(replaced("\"listen\": \"127.0.0.1:8080\"", "\"listen\": \"127.0.0.1:8080\", \"retryBudgetRatio\": 2"),
                  "$.traffic.retryBudgetRatio"));
}
