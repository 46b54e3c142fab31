#include "ctloptions.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(CtlOptions)
{
    const std::string id = std::string(32, 'a');

    void checkRefused(const char *text, const std::vector<std::string> &arguments)
    {
        const auto line = parseCommandLine(arguments);
        CHECK_FALSE(line.has_value());
        STRCMP_CONTAINS(text, line.error().message().c_str());
    }
};

TEST(CtlOptions, readsCommandAndOptions)
{
    const auto line = parseCommandLine(
        {"--node", "127.0.0.1:1", "confirm", id, "--wait", "--node=[::1]:2", "--json", "--timeout", "1.5"});
    CHECK(line.has_value());
    const auto &options = line->options;
    CHECK(options.command == Command::Confirm);
    STRCMP_EQUAL(id.c_str(), options.argument.c_str());
    CHECK_EQUAL(2, options.nodes.size());
    CHECK(options.nodes[1] == Endpoint("::1", 2));
    CHECK(options.wait && options.json);
    CHECK_EQUAL(1500, options.timeout.count());
}

TEST(CtlOptions, documentsExitCodes)
{
    const auto help = parseCommandLine({"--help"});
    STRCMP_CONTAINS("Exit status:", help->message.c_str());
    STRCMP_CONTAINS("show-plan PLAN_ID", help->message.c_str());
    STRCMP_CONTAINS("hornbeamctl ", parseCommandLine({"--version"})->message.c_str());
}

// Guards against a mistyped command line that is accepted and does something else than intended.
TEST(CtlOptions, refusesInvalidCommandLines)
{
    const std::string node = "--node=127.0.0.1:1";
    checkRefused("a command is missing", {node});
    checkRefused("unknown command \"comfirm\"", {node, "comfirm", id});
    checkRefused("confirm needs PLAN_ID", {node, "confirm"});
    checkRefused("unexpected argument \"x\"", {node, "config", "x"});
    checkRefused("is not a plan id", {node, "confirm", "../x"});
    checkRefused("is not a version", {node, "rollout", "1x"});
    checkRefused("--node is missing", {"config"});
    checkRefused("--node: ", {"--node=host:1", "config"});
    checkRefused("--wait is only for confirm", {node, "config", "--wait"});
    checkRefused("--timeout must be", {node, "config", "--timeout=0"});
    checkRefused("failed to parse", {node, "config", "--timeout=x"});
    checkRefused("other", {node, "config", "--other"});
}
