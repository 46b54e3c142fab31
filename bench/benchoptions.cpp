#include "benchoptions.h"

#include <cxxopts.hpp>

#include <iostream>

namespace Hornbeam {

namespace {

constexpr auto description = R"(
Measures convergence time, control traffic and resource usage of real hornbeamd processes on loopback addresses, and of
a baseline in which every node watches the store itself. Prints one JSON document, or an array with --sizes.

convergence_ms        Time from the response to the confirm until every reachable node has served a request with the
                      new configuration version. Each node is polled every 10 ms on a keep-alive connection. A change
                      that takes longer than 20 s counts as 20000 and is listed in failed_changes.
control_bytes_per_node
                      Sum of the nodes' counters hornbeam_store_bytes_*, hornbeam_membership_bytes_* and
                      hornbeam_peer_bytes_*, sent and received, divided by the number of nodes. per_change is the
                      traffic during the polled changes minus the idle traffic, per change. Excluded are TCP
                      acknowledgements, the TCP and IP headers of TCP connections, target announcements, the operator
                      API and /metrics. Membership traffic includes IP and UDP headers.
store_calls_per_s     Calls per second that the store stand-in counted while the nodes were idle, and the number of open
                      watches. The baseline includes the calls of the single hornbeamd that serves its operator API.
node_cpu_core_fraction
                      User and system time of the node processes while idle and during 10 changes at two per second
                      without requests, as a mean per node.
node_rss_mb           Mean resident set size of the node processes after the changes, including shared pages.
added_latency_ms      Difference between the latency quantiles of 300 requests/s through a node and of 300 requests/s
                      sent directly to a target at the same time. Null for the baseline, whose nodes do not proxy.

The idle measurement starts 15 s plus 0.25 s per node after all nodes serve, because the membership traffic of the
simultaneous joins lasts that long; for the baseline, which has no membership, it starts after 3 s. With --replace, a
tenth of the nodes is killed before each change and started again while the change spreads. Killed nodes do not count as
reachable; replaced_ready_ms is the time until they serve again.
)";

bool inRange(const char *name, int value, int min, int max)
{
    if (value >= min && value <= max) {
        return true;
    }
    std::cerr << "bench/run: --" << name << " must be between " << min << " and " << max << '\n';
    return false;
}

bool validate(const BenchOptions &options)
{
    for (const int nodes : options.sizes) {
        if (!inRange("nodes", nodes, 1, 1000)) {
            return false;
        }
    }
    if (options.zones != 3 && options.zones != 7) {
        std::cerr << "bench/run: --zones must be 3 or 7\n";
        return false;
    }
    return inRange("changes", options.changes, 1, 10000) && inRange("churn", options.churn, 0, 1000)
        && inRange("routes", options.routes, 0, 100000) && inRange("idle-seconds", options.idleSeconds, 1, 3600)
        && inRange("watchers-per-zone", options.watchersPerZone, 1, 16);
}

std::string commandLine(int argc, char **argv)
{
    std::string text = "bench/run";
    for (int i = 1; i < argc; ++i) {
        text += std::string(" ") + argv[i];
    }
    return text;
}

} // namespace

ParseOutcome parseBenchOptions(int argc, char **argv, BenchOptions &options)
{
    options.command = commandLine(argc, argv);
    cxxopts::Options parser("bench/run", description);
    auto add = parser.add_options();
    int nodes = options.sizes.front();
    std::vector<int> sizes;
    add("nodes", "Number of nodes (default 12)", cxxopts::value(nodes));
    add("zones", "Number of zones, 3 or 7 (default 3)", cxxopts::value(options.zones));
    add("changes", "Number of polled changes (default 100)", cxxopts::value(options.changes));
    add("replace", "Kill and restart a tenth of the nodes with each change", cxxopts::value(options.replace));
    add("churn", "Target announcements per second (default 0)", cxxopts::value(options.churn));
    add("routes",
        "Additional routes in the configuration, about 40 encoded bytes each",
        cxxopts::value(options.routes));
    add("idle-seconds",
        "Duration of the idle measurement in seconds (default 10)",
        cxxopts::value(options.idleSeconds));
    add("watchers-per-zone",
        "Number of nodes in each zone that watch the store (default 3)",
        cxxopts::value(options.watchersPerZone));
    add("seed", "Seed of the random choices (default 1)", cxxopts::value(options.seed));
    add("sizes", "Numbers of nodes, as N,N,...; prints an array", cxxopts::value(sizes));
    add("help", "Print this text");
    try {
        if (parser.parse(argc, argv).count("help") != 0) {
            std::cout << parser.help();
            return ParseOutcome::Help;
        }
    } catch (const std::exception &error) {
        std::cerr << "bench/run: " << error.what() << '\n';
        return ParseOutcome::Invalid;
    }
    options.printArray = !sizes.empty();
    options.sizes = sizes.empty() ? std::vector<int>{nodes} : sizes;
    return validate(options) ? ParseOutcome::Run : ParseOutcome::Invalid;
}

} // namespace Hornbeam
