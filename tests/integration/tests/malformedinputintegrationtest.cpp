#include "meshtest.h"

#include <hornbeam/testsupport/rawexchange.h>

#include <fstream>

using namespace Hornbeam;
using namespace std::chrono_literals;
using Json = nlohmann::json;

class MalformedInputTest : public MeshTest
{
protected:
    void setup() override
    {
        startMesh({.zones = {"tampere"}, .nodesPerZone = 1});
    }

    /** Checks that the node still runs and serves the same version, as it must after every malformed input. */
    void checkUnchanged()
    {
        LONGS_EQUAL(version, mesh->versionIfSuccessful(0, "/rota"));
        CHECK(mesh->processes().isRunning(Mesh::nodeName(0)));
    }

    void checkRefused(const std::string &method, const std::string &path, const std::string &body)
    {
        HttpRequest request;
        request.method = method;
        request.url = path;
        request.body = body;
        const auto response = mesh->callAdmin(0, request);
        CHECK_TEXT(statusOf(response) >= 400 && statusOf(response) < 500, describe(response).c_str());
        CHECK_FALSE(response->body.empty());
        checkUnchanged();
    }
};

TEST_GROUP_BASE(MalformedInput, MalformedInputTest){};

// Guards against a node that starts with invalid or misspelt settings instead of reporting them.
TEST(MalformedInput, invalidSettingsAreRefusedWithThePathOfTheProblem)
{
    const auto check = [&](const std::string &text, const char *expected) {
        const auto path = mesh->processes().directory() / "malformed.json";
        std::ofstream(path) << text;
        require(mesh->processes().start({.name = "malformed",
                                         .program = programPath("hornbeamd"),
                                         .arguments = {"--settings", path.string()},
                                         .readyLine = {}}));
        LONGS_EQUAL(2, mesh->processes().waitForExit("malformed", waitTimeout).value_or(-1));
        const auto output = mesh->processes().output("malformed");
        CHECK_TEXT(output.find(expected) != std::string::npos, output.c_str());
    };
    auto settings = mesh->nodeSettings(0);
    settings["traffic"]["threads"] = 0;
    check(settings.dump(), "$.traffic.threads");
    settings = mesh->nodeSettings(0);
    settings["node"].erase("zone");
    check(settings.dump(), "$.node.zone");
    settings = mesh->nodeSettings(0);
    settings["store"]["endpoint"] = "127.0.0.1:1";
    check(settings.dump(), "endpoint");
    check("{", "$");
}

// Guards against a malformed intent that is accepted or creates a new configuration version.
TEST(MalformedInput, malformedIntentIsRefused)
{
    for (const char *body : {"",
                             "{",
                             "[]",
                             "{}",
                             R"({"operations": []})",
                             R"({"operations": [{"op": "unknown"}]})",
                             R"({"operations": [{"op": "setRoute", "route": {"name": "x", "service": 7}}]})",
                             R"({"operations": [{"op": "setRoute", "route": {"name": "UPPER", "service": "x"}}]})",
                             R"({"operations": [{"op": "markLeaving", "target": "nowhere"}]})"}) {
        checkRefused("POST", "/v1/plans", body);
    }
}

// Guards against a configuration with a route whose service does not exist.
TEST(MalformedInput, routeToAMissingServiceIsRefused)
{
    const auto planned = mesh->plan(0, routeIntent("missing", "orphan"));
    if (planned.status / 100 == 2) {
        CHECK(mesh->confirm(0, planned.body.value("id", "none")).status >= 400);
    }
    checkUnchanged();
}

TEST(MalformedInput, confirmOfAnUnknownPlanIsNotFound)
{
    LONGS_EQUAL(404, mesh->confirm(0, "0123456789abcdef0123456789abcdef").status);
    checkUnchanged();
}

// Guards against a target that receives requests after a malformed announcement.
TEST(MalformedInput, malformedAnnouncementIsRefused)
{
    const auto address = "/v1/targets/" + mesh->advertisedTarget(0).toString();
    for (const char *body : {"", "{", "[]", "{}", R"({"service": 5})", R"({"service": "vuorolista", "slots": -1})"}) {
        checkRefused("PUT", address, body);
    }
    checkRefused("PUT", "/v1/targets/nowhere", R"({"service": "vuorolista", "slots": 1, "ttlMs": 3000})");
}

// Guards against request smuggling through, and crashes caused by, malformed HTTP requests from callers.
TEST(MalformedInput, malformedHttpRequestIsRefused)
{
    for (const char *bytes :
         {"nonsense\r\n\r\n",
          "GET / HTTP/9.9\r\n\r\n",
          "POST /bookings/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
          "POST /rota HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
          "POST /rota HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "POST /rota HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
          "GET /rota HTTP/1.1\r\nHost a\r\n\r\n"}) {
        const auto response = exchangeRaw(mesh->traffic(0), bytes);
        CHECK_TEXT(response.starts_with("HTTP/1.1 400"), (std::string(bytes) + " -> " + response).c_str());
        checkUnchanged();
    }
    const auto tooLarge = exchangeRaw(
        mesh->traffic(0), "GET /rota HTTP/1.1\r\nHost: a\r\nX-Large: " + std::string(100000, 'x') + "\r\n\r\n");
    CHECK_TEXT(tooLarge.starts_with("HTTP/1.1 4"), tooLarge.c_str());
    checkUnchanged();
}

// Guards against a booking without an idempotency key that is executed, so that its retry would run a second time.
TEST(MalformedInput, bookingWithoutAnIdempotencyKeyIsRefused)
{
    HttpRequest request;
    request.method = "POST";
    request.url = "/bookings/7";
    request.headers = {"X-Request-Id: no-key"};
    request.body = "{}";
    const auto response = mesh->call(0, request);
    LONGS_EQUAL(400, statusOf(response));
    LONGS_EQUAL(0, mesh->executions("no-key"));
}
