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
    Refused = 1, ///< The request was refused, or the plan's base has changed.
    Usage = 2,
    Unreachable = 3, ///< No node answered in time, or nodes still lack the version.
};

enum class Command {
    Plan,
    Confirm,
    ShowPlan,
    Config,
    Rollout,
    Dump,
    Targets,
};

/** The checked command line. */
struct CtlOptions
{
    Command command = Command::Config;
    std::string argument{}; ///< File, plan id or version, depending on the command.
    std::vector<Endpoint> nodes{}; ///< Admin addresses, in the order in which they are tried.
    bool json = false;
    bool wait = false;
    std::chrono::milliseconds timeout{10000}; ///< Bound of the whole command. 100..3600000.
};

/** What the command line asks for. */
struct CommandLine
{
    std::string message; ///< Help or version; when it is set, the options are not.
    CtlOptions options;
};

/** Parses the arguments after the program's name. InvalidArgument with a message for people. */
Result<CommandLine> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace Hornbeam
