#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Hornbeam {

/** What one run of the benchmark measures. */
struct BenchOptions
{
    std::vector<int> sizes = {12}; ///< Number of nodes of each mesh that is measured. 1..1000.
    int zones = 3; ///< 3 or 7.
    int changes = 100; ///< Confirmed changes whose convergence is measured. 1..10000.
    bool replace = false; ///< Kill a tenth of the nodes before each change and start them again during it.
    int churn = 0; ///< Announcements of further targets per second. 0..1000.
    int routes = 0; ///< Further routes in the configuration. 0..100000.
    int idleSeconds = 10; ///< Time without changes over which idle bytes, store calls and CPU are measured. 1..3600.
    int watchersPerZone = 3; ///< Nodes of a zone that watch the store. 1..16.
    std::uint64_t seed = 1;
    bool array = false; ///< Print an array, even of one document.
    std::string command; ///< The command line, repeated in the result.
};

enum class ParseOutcome {
    Run,
    Help,
    Invalid,
};

/** Parses the command line; prints the help text to standard output or the problem to standard error. */
ParseOutcome parseBenchOptions(int argc, char **argv, BenchOptions &options);

} // namespace Hornbeam
