#include "faultrule.h"

#include <nlohmann/json.hpp>

// Last, because CppUTest's macro for operator new breaks headers that use placement new.
#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using Json = nlohmann::json;

TEST_GROUP(FaultRule){};

TEST(FaultRule, parsesAllMembers)
{
    const auto rule = parseFaultRule(Json::parse(R"({"id": "slow", "kind": "delay", "sources": ["127.2.1.1"],
        "links": ["node-2"], "direction": "backward", "protocol": "tcp", "delayMs": 1.5, "jitterMs": 0.5})"));
    CHECK(rule.has_value());
    CHECK(rule->kind == FaultKind::Delay);
    CHECK(rule->direction == DirectionFilter::Backward);
    CHECK(rule->protocol == ProtocolFilter::Tcp);
    LONGS_EQUAL(1500, rule->delay.count());
    LONGS_EQUAL(500, rule->jitter.count());
}

// Guards against ignoring a misspelt rule: the fault would not be injected, and a test that relies on it would pass
// without testing anything.
TEST(FaultRule, rejectsUnknownMembersAndValues)
{
    for (const char *text : {R"({})",
                             R"([])",
                             R"({"kind": "broken"})",
                             R"({"kind": "cut", "link": ["node-1"]})",
                             R"({"kind": "cut", "links": "node-1"})",
                             R"({"kind": "loss", "probability": 1.5})",
                             R"({"kind": "delay", "delayMs": -1})",
                             R"({"kind": "silent", "direction": "up"})"}) {
        const auto rule = parseFaultRule(Json::parse(text));
        CHECK_FALSE(rule.has_value());
        CHECK_FALSE(rule.error().message().empty());
    }
}

TEST(FaultRule, matchesOnlyItsSourceLinkAndDirection)
{
    FaultRule rule;
    rule.sources = {"127.2.1.1"};
    rule.links = {"store"};
    rule.direction = DirectionFilter::Forward;
    const Flow flow = {.source = "127.2.1.1", .link = "store"};
    CHECK(rule.matches(flow, FlowDirection::Forward, FlowProtocol::Tcp));
    CHECK_FALSE(rule.matches(flow, FlowDirection::Backward, FlowProtocol::Tcp));
    CHECK_FALSE(rule.matches({.source = "127.2.1.2", .link = "store"}, FlowDirection::Forward, FlowProtocol::Tcp));
    CHECK_FALSE(rule.matches({.source = "127.2.1.1", .link = "node-1"}, FlowDirection::Forward, FlowProtocol::Tcp));
}
