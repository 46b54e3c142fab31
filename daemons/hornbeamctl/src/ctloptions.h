#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Hornbeam {

/** Exit status of the program. */
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< The request was refused, or the configuration has changed since the plan was created.
    Usage = 2,
    Unreachable = 3, ///< No node replied in time, or some nodes do not have the version yet.
};

enum class Command {
    Plan,
    Confirm,
    ShowPlan,
    Config,
    Rollout,
    Dump,
    Targets,
    Rollouts,
};

/** The validated command line. */
struct CtlOptions
{
    Command command = Command::Config;
    std::string argument{}; ///< File, plan id or version, depending on the command.
    std::vector<Endpoint> nodes{}; ///< Admin addresses, in the order in which they are tried.
    bool json = false;
    bool wait = false;
    std::chrono::milliseconds timeout{10000}; ///< Time limit of the whole command. 100..3600000.
};

/** Result of parsing the command line. */
struct CommandLine
{
    std::string message; ///< Help or version text to print; the options are not set then.
    CtlOptions options;
};

/** Parses the arguments after the program name. InvalidArgument with a message for the operator. */
Result<CommandLine> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace Hornbeam
