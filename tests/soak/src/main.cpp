#include "faultsoak.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace Hornbeam;

namespace {

/** Runs one seed and returns whether no guarantee was violated. */
bool runSeed(const FaultSoakOptions &options)
{
    std::cout << "seed " << options.seed << std::endl;
    auto soak = FaultSoak::make(options);
    if (!soak) {
        std::cout << "seed " << options.seed << ": could not start: " << soak.error().message() << std::endl;
        return false;
    }
    const auto violations = (*soak)->run();
    std::cout << "seed " << options.seed << (violations.empty() ? ": passed; " : ": failed; ") << (*soak)->summary();
    if (!violations.empty()) {
        std::cout << "; logs in " << (*soak)->keepLogs();
    }
    std::cout << std::endl;
    return violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options(
        "faultsoak",
        "Runs a mesh of real processes under random faults and checks the responses that callers receive.");
    auto add = options.add_options();
    add("seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("runs", "Number of runs; each run uses the next seed", cxxopts::value<int>()->default_value("1"));
    add("seconds", "Seconds during which each run starts faults", cxxopts::value<int>()->default_value("15"));
    add("nodes-per-zone", "Nodes in each of the three zones", cxxopts::value<int>()->default_value("2"));
    add("planned", "Run planned stops and restarts without faults");
    add("help", "Print this text");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        FaultSoakOptions run{.seed = parsed["seed"].as<std::uint64_t>(),
                             .duration = std::chrono::seconds(parsed["seconds"].as<int>()),
                             .nodesPerZone = parsed["nodes-per-zone"].as<int>(),
                             .mode = parsed.count("planned") > 0 ? SoakMode::PlannedWork : SoakMode::Faults};
        int failures = 0;
        for (int i = 0; i < parsed["runs"].as<int>(); ++i) {
            failures += runSeed(run) ? 0 : 1;
            ++run.seed;
        }
        return failures == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "faultsoak: " << error.what() << '\n';
        return 2;
    }
}
