#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Hornbeam {

/** Parameters of one run of the benchmark. */
struct BenchOptions
{
    std::vector<int> sizes = {12}; ///< Numbers of nodes; one mesh of each size is measured. 1..1000.
    int zones = 3; ///< 3 or 7.
    int changes = 100; ///< Confirmed changes whose convergence is measured. 1..10000.
    bool replace = false; ///< Kill a tenth of the nodes before each change and restart them while it spreads.
    int churn = 0; ///< Announcements of additional targets per second. 0..1000.
    int routes = 0; ///< Additional routes in the configuration. 0..100000.
    int idleSeconds = 10; ///< Time without changes in which idle traffic, store calls and CPU are measured. 1..3600.
    int watchersPerZone = 3; ///< Nodes in each zone that watch the store. 1..16.
    std::uint64_t seed = 1;
    bool printArray = false; ///< Print an array even when it holds one document.
    std::string command; ///< The command line, which is included in the result.
};

enum class ParseOutcome {
    Run,
    Help,
    Invalid,
};

/** Parses the command line; prints the help text to standard output, or an error to standard error. */
ParseOutcome parseBenchOptions(int argc, char **argv, BenchOptions &options);

} // namespace Hornbeam
