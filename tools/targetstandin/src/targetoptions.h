#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Hornbeam {

/** Command line of the target stand-in. */
struct TargetOptions
{
    std::string listenAddress = "127.0.0.1";
    std::uint16_t listenPort = 0; ///< 0 lets the system choose.
    std::string advertise; ///< Announced "IP:PORT", for example of a proxy in front; empty is the listening address.
    std::string admin; ///< "IP:PORT" of the node's admin API; empty announces nothing.
    std::string service = "echo";
    std::uint32_t slots = 10; ///< Announced only.
    std::uint32_t shedAbove = 0; ///< Answers 503 above this many concurrent requests; 0 never does.
    std::uint32_t workers = 0; ///< Slow requests that run at the same time, others queue; 0 runs all of them.
    std::map<std::string, std::string> labels;
    std::chrono::milliseconds timeToLive{3000}; ///< Announcements are renewed at a third of it.
    std::chrono::milliseconds coldStart{0}; ///< Requests are slower for this time after the start.
    std::chrono::milliseconds leaveTime{3000}; ///< Shortest time between SIGTERM and the exit.
};

/** Parses the command line. InvalidArgument carries the text to print, which is the usage for --help. */
Result<TargetOptions> parseTargetOptions(int argc, char **argv);

} // namespace Hornbeam
