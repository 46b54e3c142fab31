#include "benchoptions.h"
#include "measurement.h"

#include <cstdlib>
#include <iostream>

using namespace Hornbeam;
using Json = nlohmann::json;

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

Json loadAverages()
{
    std::array<double, 3> averages{};
    getloadavg(averages.data(), static_cast<int>(averages.size()));
    return averages;
}

Result<Json> measureSize(const BenchOptions &options, int nodes)
{
    const auto load = loadAverages();
    auto result = measureDesign(options, Design::Hornbeam, nodes);
    if (!result) {
        return result;
    }
    const auto baseline = measureDesign(options, Design::Baseline, nodes);
    if (!baseline) {
        return makeError(baseline.error().code(), "baseline: " + baseline.error().message());
    }
    Json document = {{"nodes", nodes},
                     {"zones", options.zones},
                     {"changes", options.changes},
                     {"seed", options.seed},
                     {"replace", options.replace},
                     {"churn", options.churn},
                     {"routes", options.routes},
                     {"idle_seconds", options.idleSeconds},
                     {"watchers_per_zone", options.watchersPerZone},
                     {"command", options.command},
                     {"load_average_before", load},
                     {"load_average_after", loadAverages()},
                     {"baseline", *baseline}};
    const auto *const revision = std::getenv("HORNBEAM_BENCH_REVISION");
    document["revision"] = revision == nullptr ? "" : revision;
    document.update(*result);
    return document;
}

} // namespace

int main(int argc, char **argv)
{
    BenchOptions options;
    const auto outcome = parseBenchOptions(argc, argv, options);
    if (outcome != ParseOutcome::Run) {
        return outcome == ParseOutcome::Help ? 0 : exitUsage;
    }
    auto documents = Json::array();
    int exitStatus = 0;
    for (const int nodes : options.sizes) {
        auto result = measureSize(options, nodes);
        if (result) {
            documents.push_back(*std::move(result));
        } else {
            std::cerr << "bench/run: " << nodes << " nodes: " << result.error().message() << '\n';
            exitStatus = exitFailed;
        }
    }
    if (options.printArray) {
        std::cout << documents.dump(2) << std::endl;
    } else if (!documents.empty()) {
        std::cout << documents.front().dump(2) << std::endl;
    }
    return exitStatus;
}
