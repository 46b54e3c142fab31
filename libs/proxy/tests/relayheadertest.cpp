#include "relayheader.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(RelayHeader){};

TEST(RelayHeader, parsesAFormattedRequest)
{
    const RelayRequest request{.target = "i-7",
                               .service = "rota",
                               .route = "lookup",
                               .timeLeft = 1500ms,
                               .maxWait = 40ms,
                               .rank = AdmissionRank::nested(),
                               .idempotent = false,
                               .bulk = true,
                               .repeated = true};
    CHECK(RelayRequest::parse(request.format()) == request);
}

TEST(RelayHeader, parsesAFormattedSender)
{
    const RelaySender sender{.nodeId = "4f1c", .stopTime = std::chrono::milliseconds(5500)};
    CHECK(RelaySender::parse(sender.format()) == sender);
    for (const char *text : {"", "4f1c", ";5500", "4f1c;", "4f1c;-1", "4f1c;5500;1", "4f1c;3600001"}) {
        CHECK_FALSE(RelaySender::parse(text).has_value());
    }
}

TEST(RelayHeader, parsesAFormattedAccount)
{
    for (const auto &account :
         {CallAccount{.name = "north", .priority = Priority::Low}, CallAccount{.name = ";a;b;", .inherited = true}}) {
        CHECK(parseRelayAccount(formatRelayAccount(account)) == account);
    }
    for (const char *text : {"", "north", "0;0;", "3;0;north", "0;2;north", "0;;north", "--;0;north", "-;0north"}) {
        CHECK_FALSE(parseRelayAccount(text).has_value());
    }
}

TEST(RelayHeader, parsesAFormattedReport)
{
    const LoadReport report{.running = 9,
                            .waiting = {1, 0, 3, 0, 2},
                            .slots = 10,
                            .serviceTime = 120ms,
                            .timePercent = 240,
                            .failuresPerMille = 250,
                            .routeTime = 64ms,
                            .largeWait = 70ms,
                            .refusedByTarget = true,
                            .dependencyFailed = true};
    CHECK(LoadReport::parse(report.format()) == report);
    CHECK_EQUAL(10, report.ahead(AdmissionRank::nested()));
    CHECK_EQUAL(15, report.ahead(AdmissionRank::fromValue(4)));
}

// Guards against accepting a malformed header, for example of another process at the former address of a node.
TEST(RelayHeader, refusesMalformedText)
{
    CHECK(RelayRequest::parse("a;b;c;1;2;3;1;0;0").has_value());
    for (const char *text : {"",
                             "a;b",
                             "a;b;c;1;2;9;1;0;0",
                             "a;b;c;-1;2;3;1;0;0",
                             "a;b;c;1;2;3;1;5;0",
                             "a;b;c;x;2;3;1;0;0",
                             "a;b;c;1;2;3;1;0;0;0"}) {
        CHECK_FALSE(RelayRequest::parse(text).has_value());
    }
    CHECK(LoadReport::parse("1,0,0,0,0,0,9,5,1,1,0,0,0").has_value());
    for (const char *text : {"",
                             "1,2",
                             "1,0,0,0,0,0,0,5,0,0,0,0,0",
                             "1,0,0,0,0,0,9,5,1001,0,0,0,0",
                             "1,0,0,0,0,0,9,5,1,2,0,0,0",
                             "1,0,0,0,0,0,9,5,1,1,0",
                             "1,0,0,0,0,0,9,5,1,1,0,0,0,0",
                             "1,0,0,0,0,0,9,5,1,1,0,0,0,10001",
                             "1,0,0,0,0,0,9,5,1,1,0,0,0,100,1"}) {
        CHECK_FALSE(LoadReport::parse(text).has_value());
    }
}
