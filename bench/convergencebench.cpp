#include "processusage.h"

#include <hornbeam/testsupport/mesh.h>
#include <hornbeam/testsupport/waiting.h>

#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <fstream>
#include <future>
#include <iostream>
#include <random>
#include <thread>

using namespace Hornbeam;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds convergenceTimeout{20000};
constexpr std::chrono::milliseconds joinTimeout{60000};

struct BenchOptions
{
    int nodesPerZone = 2;
    int changes = 20;
    int routes = 0; ///< Further routes in the configuration before the measurement.
    int watchersPerZone = 3;
    int idleSeconds = 5;
    bool churn = false; ///< Kill and replace a tenth of the nodes during the changes.
    std::uint64_t seed = 1;
    std::string label;
    std::string output;
};

/** Counters of the whole mesh at a point in time. */
struct Counters
{
    Clock::time_point time;
    std::uint64_t storeBytes = 0; ///< Payload of the connections between nodes and store, both directions.
    std::uint64_t peerBytes = 0; ///< The same between nodes, with the payload of datagrams.
    std::uint64_t storeCalls = 0;
    std::chrono::milliseconds cpu{0}; ///< Of all nodes.
};

Counters readCounters(Mesh &mesh)
{
    Counters counters;
    counters.time = Clock::now();
    const auto statistics = mesh.faultStatistics();
    for (const auto &flow : statistics["flows"]) {
        const auto link = flow["link"].get<std::string>();
        const auto bytes = flow["bytesForward"].get<std::uint64_t>() + flow["bytesBackward"].get<std::uint64_t>()
            + flow["datagramBytes"].get<std::uint64_t>();
        counters.storeBytes += link == "store" ? bytes : 0;
        counters.peerBytes += link.starts_with("node-") ? bytes : 0;
    }
    const auto store = mesh.storeStatistics();
    counters.storeCalls = store["reads"].get<std::uint64_t>() + store["writes"].get<std::uint64_t>();
    for (const int node : mesh.allNodes()) {
        counters.cpu += readProcessUsage(mesh.processes().pid(Mesh::nodeName(node))).cpu;
    }
    return counters;
}

Json difference(const Counters &from, const Counters &to, int nodes)
{
    const auto seconds = std::chrono::duration<double>(to.time - from.time).count();
    const auto perNode = 1.0 / nodes;
    return {{"seconds", seconds},
            {"peerBytesPerNodePerSecond", static_cast<double>(to.peerBytes - from.peerBytes) * perNode / seconds},
            {"storeBytesPerNodePerSecond", static_cast<double>(to.storeBytes - from.storeBytes) * perNode / seconds},
            {"storeCallsPerSecond", static_cast<double>(to.storeCalls - from.storeCalls) / seconds},
            {"cpuShareOfACorePerNode", std::chrono::duration<double>(to.cpu - from.cpu).count() * perNode / seconds}};
}

double quantile(std::vector<double> sorted, double probability)
{
    if (sorted.empty()) {
        return 0;
    }
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(probability * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
}

Json summary(const std::vector<double> &milliseconds)
{
    return {{"samples", milliseconds.size()},
            {"p50", quantile(milliseconds, 0.5)},
            {"p99", quantile(milliseconds, 0.99)},
            {"max", quantile(milliseconds, 1)}};
}

Json manyRoutes(const std::string &service, int first, int n)
{
    auto operations = Json::array();
    for (int i = first; i < first + n; ++i) {
        const auto name = "bulk-" + std::to_string(i);
        const Json route = {{"name", name}, {"pathPrefix", "/" + name}, {"service", service}};
        operations.push_back({{"op", "setRoute"}, {"route", route}});
    }
    return {{"operations", operations}};
}

class ConvergenceBench
{
public:
    explicit ConvergenceBench(BenchOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
    }

    Result<Json> run();

private:
    Result<bool> prepare();
    Result<bool> addRoutes();
    Result<double> change(int number);
    std::vector<int> replaceNodes();
    std::vector<int> reachableNodes(const std::vector<int> &excluded) const;
    std::chrono::duration<double, std::milli> timeToServe(const std::vector<int> &nodes, std::uint64_t version);
    bool waitUntilIdle();
    Json memory();

    BenchOptions m_options;
    std::mt19937_64 m_random;
    std::unique_ptr<Mesh> m_mesh;
    std::uint64_t m_version = 0;
};

Result<bool> ConvergenceBench::prepare()
{
    MeshOptions options;
    options.nodesPerZone = m_options.nodesPerZone;
    options.settings = {{"store", {{"watchersPerZone", m_options.watchersPerZone}}}};
    auto mesh = Mesh::make(options);
    if (!mesh) {
        return tl::unexpected(mesh.error());
    }
    m_mesh = *std::move(mesh);
    Result<std::uint64_t> applied = makeError(ErrorCode::Unavailable, "not tried");
    waitUntil(joinTimeout, [&] {
        applied = m_mesh->apply(0, basicIntent("vuorolista"));
        return applied.has_value();
    });
    if (!applied) {
        return tl::unexpected(applied.error());
    }
    m_version = *applied;
    const auto added = addRoutes();
    if (!added) {
        return added;
    }
    if (!m_mesh->waitForVersion(m_version, m_mesh->allNodes(), joinTimeout, "/rota")) {
        return makeError(ErrorCode::Unavailable, "the nodes did not become ready");
    }
    return true;
}

Result<bool> ConvergenceBench::addRoutes()
{
    constexpr int routesPerIntent = 2000;
    for (int first = 0; first < m_options.routes; first += routesPerIntent) {
        const auto n = std::min(routesPerIntent, m_options.routes - first);
        const auto applied = m_mesh->apply(0, manyRoutes("vuorolista", first, n));
        if (!applied) {
            return tl::unexpected(applied.error());
        }
        m_version = *applied;
    }
    return true;
}

std::chrono::duration<double, std::milli> ConvergenceBench::timeToServe(const std::vector<int> &nodes,
                                                                        std::uint64_t version)
{
    const auto start = Clock::now();
    std::vector<std::future<Clock::time_point>> waiting;
    for (const int node : nodes) {
        waiting.push_back(std::async(std::launch::async, [this, node, version] {
            const bool served = m_mesh->waitForVersion(version, {node}, convergenceTimeout, "/rota");
            return served ? Clock::now() : Clock::time_point::max();
        }));
    }
    auto last = start;
    for (auto &node : waiting) {
        last = std::max(last, node.get());
    }
    return last - start;
}

std::vector<int> ConvergenceBench::replaceNodes()
{
    auto nodes = m_mesh->allNodes();
    std::shuffle(nodes.begin(), nodes.end(), m_random);
    nodes.resize(std::max<std::size_t>(1, nodes.size() / 10));
    for (const int node : nodes) {
        m_mesh->processes().kill(Mesh::nodeName(node));
    }
    return nodes;
}

std::vector<int> ConvergenceBench::reachableNodes(const std::vector<int> &excluded) const
{
    auto nodes = m_mesh->allNodes();
    std::erase_if(nodes, [&](int node) { return std::find(excluded.begin(), excluded.end(), node) != excluded.end(); });
    return nodes;
}

Result<double> ConvergenceBench::change(int number)
{
    const auto replaced = m_options.churn ? replaceNodes() : std::vector<int>();
    const auto nodes = reachableNodes(replaced);
    std::uniform_int_distribution<std::size_t> choice(0, nodes.size() - 1);
    const auto route = "change-" + std::to_string(number);
    const auto applied = m_mesh->apply(nodes[choice(m_random)], routeIntent("vuorolista", route));
    if (!applied) {
        return tl::unexpected(applied.error());
    }
    m_version = *applied;
    const auto elapsed = timeToServe(nodes, m_version);
    for (const int node : replaced) {
        const auto started = m_mesh->startNode(node);
        if (!started) {
            return tl::unexpected(started.error());
        }
    }
    if (!m_mesh->waitForVersion(m_version, replaced, joinTimeout, "/rota")) {
        return makeError(ErrorCode::Unavailable, "a replaced node did not become ready");
    }
    if (elapsed >= convergenceTimeout) {
        return makeError(ErrorCode::Unavailable, "version " + std::to_string(m_version) + " did not reach all nodes");
    }
    return elapsed.count();
}

Json ConvergenceBench::memory()
{
    std::uint64_t peak = 0;
    for (const int node : m_mesh->allNodes()) {
        peak = std::max(peak, readProcessUsage(m_mesh->processes().pid(Mesh::nodeName(node))).peakResidentBytes);
    }
    return peak;
}

Result<Json> ConvergenceBench::run()
{
    const auto prepared = prepare();
    if (!prepared) {
        return tl::unexpected(prepared.error());
    }
    const auto idleStart = readCounters(*m_mesh);
    // The measured quantity is the traffic over a fixed time without changes, so this waits for that time.
    std::this_thread::sleep_for(std::chrono::seconds(m_options.idleSeconds));
    const auto changesStart = readCounters(*m_mesh);
    std::vector<double> times;
    for (int i = 0; i < m_options.changes; ++i) {
        const auto time = change(i);
        if (!time) {
            return tl::unexpected(time.error());
        }
        times.push_back(*time);
    }
    const auto end = readCounters(*m_mesh);
    const auto nodes = m_mesh->nodeCount();
    const auto controlBytes = end.peerBytes + end.storeBytes - changesStart.peerBytes - changesStart.storeBytes;
    return Json{
        {"label", m_options.label},
        {"seed", m_options.seed},
        {"nodes", nodes},
        {"routes", m_options.routes},
        {"watchersPerZone", m_options.watchersPerZone},
        {"churn", m_options.churn},
        {"convergenceMs", summary(times)},
        {"idle", difference(idleStart, changesStart, nodes)},
        {"changing", difference(changesStart, end, nodes)},
        {"controlBytesPerNodePerChange", static_cast<double>(controlBytes) / nodes / std::max(1, m_options.changes)},
        {"peakResidentBytes", memory()}};
}

int report(const BenchOptions &options)
{
    const auto result = ConvergenceBench(options).run();
    if (!result) {
        std::cerr << "convergencebench: " << result.error().message() << '\n';
        return 1;
    }
    std::cout << result->dump() << std::endl;
    if (!options.output.empty()) {
        std::ofstream(options.output, std::ios::app) << result->dump() << '\n';
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options parser("convergencebench", "Measures how fast and at what cost a configuration spreads.");
    BenchOptions options;
    auto add = parser.add_options();
    add("nodes-per-zone", "Nodes in each of three zones", cxxopts::value(options.nodesPerZone));
    add("changes", "Number of confirmed changes", cxxopts::value(options.changes));
    add("routes", "Routes in the configuration beforehand", cxxopts::value(options.routes));
    add("watchers-per-zone", "Nodes of a zone that watch the store", cxxopts::value(options.watchersPerZone));
    add("idle-seconds", "Time without changes before", cxxopts::value(options.idleSeconds));
    add("churn", "Replace a tenth of the nodes with each change", cxxopts::value(options.churn));
    add("seed", "Seed of the random choices", cxxopts::value(options.seed));
    add("label", "Name of the run in the result", cxxopts::value(options.label));
    add("output", "File to append the result to, a JSON object a line", cxxopts::value(options.output));
    add("help", "Print this text");
    try {
        if (parser.parse(argc, argv).count("help") > 0) {
            std::cout << parser.help();
            return 0;
        }
    } catch (const std::exception &error) {
        std::cerr << "convergencebench: " << error.what() << '\n';
        return 2;
    }
    std::cerr << "seed " << options.seed << '\n';
    return report(options);
}
