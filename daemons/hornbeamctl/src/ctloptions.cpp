#include "ctloptions.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <optional>

namespace Hornbeam {

namespace {

constexpr const char *commandHelp = R"(
Commands:
  plan FILE|-          create a plan from an intent (JSON) in a file or on standard input
  confirm PLAN_ID      put a plan into effect; with --wait, wait until all known nodes have it
  show-plan PLAN_ID    show a plan
  config               show the configuration in effect on the node
  rollout VERSION      show how many known nodes have a version
  dump                 show the node's state
  targets              show the targets that the node knows
  rollouts             show the roll-outs of services, their last step and its reason

Exit status:
  0  success
  1  refused, or the configuration has changed since the plan was created
  2  invalid command line or unreadable file
  3  no node replied in time, or some nodes do not have the version yet
)";

struct CommandSyntax
{
    const char *name;
    Command command;
    const char *argument; ///< Name of the argument, or null.
};

constexpr CommandSyntax commandSyntaxes[] = {
    {"plan", Command::Plan, "FILE"},
    {"confirm", Command::Confirm, "PLAN_ID"},
    {"show-plan", Command::ShowPlan, "PLAN_ID"},
    {"config", Command::Config, nullptr},
    {"rollout", Command::Rollout, "VERSION"},
    {"dump", Command::Dump, nullptr},
    {"targets", Command::Targets, nullptr},
    {"rollouts", Command::Rollouts, nullptr},
};

cxxopts::Options declareOptions()
{
    cxxopts::Options options("hornbeamctl", "Plans, confirms and shows the configuration of hornbeamring.\n");
    options.custom_help("[OPTION...] COMMAND [ARGUMENT]");
    options.positional_help("");
    auto add = options.add_options();
    add("node",
        "admin address IP:PORT of a node; repeat it to name more, tried in order",
        cxxopts::value<std::vector<std::string>>());
    add("json", "print JSON instead of tables");
    add("wait", "with confirm: wait until all known nodes have the version");
    add("timeout",
        "time limit of the whole command in seconds, 0.1..3600",
        cxxopts::value<double>()->default_value("10"));
    add("help", "print this help");
    add("version", "print the version");
    options.add_options("positional")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

tl::unexpected<Error> usageError(std::string text)
{
    return makeError(ErrorCode::InvalidArgument, std::move(text));
}

bool isPlanId(const std::string &text)
{
    return text.size() == 32 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isVersion(const std::string &text)
{
    return !text.empty() && text.size() <= 20 && text.find_first_not_of("0123456789") == std::string::npos;
}

Result<void> readCommand(const std::vector<std::string> &words, CtlOptions &options)
{
    if (words.empty()) {
        return usageError("a command is missing");
    }
    const auto *const syntax = std::find_if(std::begin(commandSyntaxes),
                                            std::end(commandSyntaxes),
                                            [&](const CommandSyntax &it) { return words.front() == it.name; });
    if (syntax == std::end(commandSyntaxes)) {
        return usageError("unknown command \"" + words.front() + "\"");
    }
    options.command = syntax->command;
    const std::size_t expected = syntax->argument != nullptr ? 2 : 1;
    if (words.size() < expected) {
        return usageError(std::string(syntax->name) + " needs " + syntax->argument);
    }
    if (words.size() > expected) {
        return usageError("unexpected argument \"" + words[expected] + "\"");
    }
    if (expected == 2) {
        options.argument = words[1];
    }
    const bool takesPlan = options.command == Command::Confirm || options.command == Command::ShowPlan;
    if (takesPlan && !isPlanId(options.argument)) {
        return usageError("\"" + options.argument + "\" is not a plan id (32 hexadecimal digits)");
    }
    if (options.command == Command::Rollout && !isVersion(options.argument)) {
        return usageError("\"" + options.argument + "\" is not a version");
    }
    return {};
}

Result<void> readNodes(const cxxopts::ParseResult &parsed, CtlOptions &options)
{
    if (parsed.count("node") == 0) {
        return usageError("--node is missing");
    }
    for (const auto &text : parsed["node"].as<std::vector<std::string>>()) {
        auto node = Endpoint::parse(text);
        if (!node) {
            return usageError("--node: " + node.error().message());
        }
        options.nodes.push_back(*std::move(node));
    }
    return {};
}

Result<CommandLine> readOptions(const cxxopts::ParseResult &parsed, const cxxopts::Options &declared)
{
    CommandLine line;
    if (parsed.count("help") > 0) {
        line.message = declared.help({""}) + commandHelp;
        return line;
    }
    if (parsed.count("version") > 0) {
        line.message = "hornbeamctl " HORNBEAM_VERSION "\n";
        return line;
    }
    auto &options = line.options;
    const auto words =
        parsed.count("words") > 0 ? parsed["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (const auto read = readCommand(words, options); !read) {
        return tl::unexpected(read.error());
    }
    if (const auto read = readNodes(parsed, options); !read) {
        return tl::unexpected(read.error());
    }
    options.json = parsed.count("json") > 0;
    options.wait = parsed.count("wait") > 0;
    if (options.wait && options.command != Command::Confirm) {
        return usageError("--wait is only for confirm");
    }
    const auto seconds = parsed["timeout"].as<double>();
    if (!(seconds >= 0.1 && seconds <= 3600)) {
        return usageError("--timeout must be 0.1..3600");
    }
    options.timeout = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    return line;
}

} // namespace

Result<CommandLine> parseCommandLine(const std::vector<std::string> &arguments)
{
    auto declared = declareOptions();
    std::vector<const char *> argv = {"hornbeamctl"};
    for (const auto &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    // cxxopts reports unknown options and malformed values as exceptions.
    try {
        return readOptions(declared.parse(static_cast<int>(argv.size()), argv.data()), declared);
    } catch (const std::exception &exception) {
        return usageError(exception.what());
    }
}

} // namespace Hornbeam
