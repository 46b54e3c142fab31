#include "commandrunner.h"
#include "scriptedserver.h"

#include <cstdio>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

constexpr const char *planReply = R"({"id":"p1","baseVersion":4,"targetVersion":5,
    "affected":{"proxies":3,"targets":2},"notices":["look"],"refusals":[],"changes":[
    {"kind":"added","resource":"service","name":"a","after":{"name":"a","slotsPerTarget":2}},
    {"kind":"changed","resource":"route","name":"r","before":{"name":"r","host":""},"after":{"name":"r","host":"h"}}]})";

constexpr const char *conflictReply = R"({"error":{"code":"conflict","message":"replaced","path":""},
    "currentVersion":9,"refusals":[],"changes":[{"kind":"removed","resource":"route","name":"r","before":{}}]})";

std::string rolloutReply(int n)
{
    return ScriptedServer::response(200,
                                    R"({"version":5,"knownNodes":3,"behind":[],"nodesWithVersion":)" + std::to_string(n)
                                        + R"(,"complete":)" + (n == 3 ? "true}" : "false}"));
}

/** A loopback endpoint on which nothing listens. */
Endpoint closedEndpoint()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

} // namespace

TEST_GROUP(CommandRunner)
{
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;

    ExitCode run(CtlOptions options)
    {
        out.str("");
        err.str("");
        CommandRunner runner(std::move(options), in, out, err);
        return runner.run();
    }

    CtlOptions confirmAt(std::vector<Endpoint> nodes)
    {
        return {.command = Command::Confirm, .argument = "p1", .nodes = std::move(nodes)};
    }
};

TEST(CommandRunner, printsAPlan)
{
    const ScriptedServer server({ScriptedServer::response(200, planReply)});
    in.str("{}");
    CHECK(run({.command = Command::Plan, .argument = "-", .nodes = {server.endpoint()}}) == ExitCode::Ok);
    STRCMP_EQUAL("plan      p1\nversion   4 -> 5\naffected  3 proxies, 2 targets\nnotice: look\n"
                 "CHANGE   RESOURCE  NAME  FIELDS\n"
                 "added    service   a     slotsPerTarget=2\n"
                 "changed  route     r     host: (none) -> h\n",
                 out.str().c_str());
    CHECK(run({.command = Command::Plan, .argument = "/nonexistent", .nodes = {server.endpoint()}}) == ExitCode::Usage);
}

TEST(CommandRunner, printsTheReplyItselfAsJson)
{
    const ScriptedServer server({ScriptedServer::response(200, "{\"targets\":[]}")});
    CHECK(run({.command = Command::Targets, .argument = {}, .nodes = {server.endpoint()}, .json = true})
          == ExitCode::Ok);
    STRCMP_EQUAL("{\"targets\":[]}\n", out.str().c_str());
}

TEST(CommandRunner, reportsRefusalsAndConflicts)
{
    const ScriptedServer invalid({ScriptedServer::response(
        400, R"({"error":{"code":"c","message":"bad","path":"$.a"},"problems":[{"path":"$.a","reason":"odd"}]})")});
    CHECK(run({.command = Command::Plan, .argument = "-", .nodes = {invalid.endpoint()}}) == ExitCode::Refused);
    STRCMP_EQUAL("hornbeamctl: bad\n  $.a: odd\n", err.str().c_str());
    const ScriptedServer conflict({ScriptedServer::response(409, conflictReply)});
    CHECK(run(confirmAt({conflict.endpoint()})) == ExitCode::Refused);
    STRCMP_CONTAINS("against version 9", err.str().c_str());
    CHECK_EQUAL(1, conflict.requests().size());
}

TEST(CommandRunner, triesTheNextNodeWhenOneIsDownOrCannotReachTheStore)
{
    const ScriptedServer withoutStore({ScriptedServer::response(503, R"({"error":{"message":"store","path":""}})")});
    const ScriptedServer withStore({ScriptedServer::response(200, R"({"targets":[]})")});
    const auto down = closedEndpoint();
    CtlOptions options{
        .command = Command::Targets, .argument = {}, .nodes = {down, withoutStore.endpoint(), withStore.endpoint()}};
    CHECK(run(options) == ExitCode::Ok);
    options.nodes = {down};
    CHECK(run(options) == ExitCode::Unreachable);
    STRCMP_CONTAINS(down.toString().c_str(), err.str().c_str());
    options.nodes = {withoutStore.endpoint()};
    CHECK(run(options) == ExitCode::Unreachable);
    STRCMP_EQUAL("hornbeamctl: store\n", err.str().c_str());
}

// Guards against a confirm that took effect being reported as failed because its reply was lost.
TEST(CommandRunner, retriesConfirmOfTheSamePlanAfterALostReply)
{
    const ScriptedServer server({"", "", ScriptedServer::response(200, R"({"version":5})")});
    CHECK(run(confirmAt({server.endpoint()})) == ExitCode::Ok);
    STRCMP_EQUAL("version 5\n", out.str().c_str());
    const auto requests = server.requests();
    CHECK_EQUAL(3, requests.size());
    for (const auto &request : requests) {
        STRCMP_EQUAL("POST /v1/plans/p1/confirm", request.c_str());
    }
    auto options = confirmAt({closedEndpoint()});
    options.timeout = std::chrono::milliseconds(300);
    CHECK(run(options) == ExitCode::Unreachable);
    STRCMP_CONTAINS("confirm the same plan again", err.str().c_str());
}

// Guards against a roll-out whose state or reason operators cannot see.
TEST(CommandRunner, showsRolloutsWithTheirReasons)
{
    const ScriptedServer server({ScriptedServer::response(
        200,
        R"({"decider":true,"rules":[],"steps":[{"service":"menu","order":9,"fence":2,"step":5,"phase":"rolled-back",)"
        R"("share":0,"stable":"v1","version":"v2","elapsedMs":4100,"reason":"route r: 5 of 10 requests failed"}]})")});
    CHECK(run({.command = Command::Rollouts, .argument = {}, .nodes = {server.endpoint()}}) == ExitCode::Ok);
    STRCMP_CONTAINS("rolled-back", out.str().c_str());
    STRCMP_CONTAINS("2.5", out.str().c_str());
    STRCMP_CONTAINS("route r: 5 of 10 requests failed", out.str().c_str());
    STRCMP_EQUAL("GET /v1/rollouts", server.requests().front().c_str());
}

TEST(CommandRunner, waitsForTheRollout)
{
    const ScriptedServer server(
        {ScriptedServer::response(200, R"({"version":5})"), rolloutReply(1), "", rolloutReply(1), rolloutReply(3)});
    auto options = confirmAt({server.endpoint()});
    options.wait = true;
    CHECK(run(options) == ExitCode::Ok);
    STRCMP_EQUAL("version 5: 1 of 3 nodes\nversion 5: 3 of 3 nodes\n", err.str().c_str());
}

TEST(CommandRunner, reportsARolloutThatIsIncompleteAtTheDeadline)
{
    const ScriptedServer server({ScriptedServer::response(200, R"({"version":5})"), rolloutReply(2)});
    auto options = confirmAt({server.endpoint()});
    options.wait = true;
    options.timeout = std::chrono::milliseconds(600);
    CHECK(run(options) == ExitCode::Unreachable);
    STRCMP_CONTAINS("not all known nodes", err.str().c_str());
}

// Guards against a crash on a reply that is not JSON of a node, as when another program listens at the address.
TEST(CommandRunner, refusesRepliesOfOtherPrograms)
{
    const ScriptedServer server({ScriptedServer::response(200, "<html>"), ScriptedServer::response(404, "[]")});
    CHECK(run({.command = Command::Config, .argument = {}, .nodes = {server.endpoint()}}) == ExitCode::Unreachable);
    CHECK(run({.command = Command::Config, .argument = {}, .nodes = {server.endpoint()}}) == ExitCode::Unreachable);
}
