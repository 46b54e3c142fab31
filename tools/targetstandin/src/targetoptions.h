#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Hornbeam {

/** Command-line options of the target stand-in. */
struct TargetOptions
{
    std::string listenAddress = "127.0.0.1";
    std::uint16_t listenPort = 0; ///< 0 lets the system choose the port.
    std::string advertise; ///< "IP:PORT" to announce, for example of a proxy in front; empty is the listening address.
    std::string admin; ///< "IP:PORT" of the node's admin API; empty disables announcements.
    std::string service = "echo";
    std::uint32_t slots = 10; ///< Announced concurrency limit; the stand-in itself does not enforce it.
    std::uint32_t shedAbove = 0; ///< Responds 503 above this many concurrent requests; 0 disables shedding.
    std::uint32_t workers = 0; ///< Number of /slow requests that run at the same time; others queue. 0 is no limit.
    std::map<std::string, std::string> labels;
    std::chrono::milliseconds timeToLive{3000}; ///< Of an announcement, which is renewed after a third of it.
    std::chrono::milliseconds coldStart{0}; ///< Time after the start in which requests take longer.
    std::chrono::milliseconds leaveTime{3000}; ///< Minimum time between SIGTERM and exit.
};

/** Parses the command line. Returns InvalidArgument with the text to print: an error, or the usage for --help. */
Result<TargetOptions> parseTargetOptions(int argc, char **argv);

} // namespace Hornbeam
