#include "fleet.h"

#include <fstream>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t trafficPort = 8080;
constexpr std::uint16_t adminPort = 8081;
constexpr std::uint16_t peerPort = 8082;
constexpr std::uint16_t targetPort = 9000;
constexpr std::uint16_t storePort = 2379;

/** Third octet of the first /24 subnet for each kind of process; each subnet holds 250 of them. */
constexpr int toolSubnet = 0;
constexpr int nodeSubnet = 1;
constexpr int targetSubnet = 10;
constexpr int churnSubnet = 20;
constexpr int addressesPerSubnet = 250;

constexpr int storeLastOctet = 2;
constexpr int operatorLastOctet = 3;
constexpr int seedsPerZone = 2;
constexpr std::chrono::milliseconds startTimeout{30000};
constexpr std::chrono::milliseconds confirmTimeout{10000};

constexpr auto serviceName = "vuorolista";

std::string nodeName(int node)
{
    return "node-" + std::to_string(node);
}

Result<Json> parseSuccess(const Result<HttpResponse> &response)
{
    if (!response) {
        return tl::unexpected(response.error());
    }
    auto body = Json::parse(response->body, nullptr, false);
    if (response->status / 100 != 2 || !body.is_object()) {
        return makeError(ErrorCode::Unavailable,
                         "status " + std::to_string(response->status) + " " + response->body.substr(0, 500));
    }
    return body;
}

} // namespace

Fleet::Fleet(const FleetOptions &options)
    : m_options(options)
    , m_processes(std::make_unique<ProcessGroup>())
{
}

Result<std::unique_ptr<Fleet>> Fleet::make(const FleetOptions &options)
{
    std::unique_ptr<Fleet> fleet(new Fleet(options));
    auto block = AddressBlock::reserve();
    if (!block) {
        return tl::unexpected(block.error());
    }
    fleet->m_block = *std::move(block);
    const auto started = fleet->start();
    if (!started) {
        return tl::unexpected(started.error());
    }
    return fleet;
}

std::vector<int> Fleet::allNodes() const
{
    std::vector<int> nodes;
    for (int i = 0; i < m_options.nodes; ++i) {
        nodes.push_back(i);
    }
    return nodes;
}

Result<pid_t> Fleet::startNode(int node)
{
    if (m_options.design == Design::Hornbeam) {
        const auto address = nodeEndpoint(node, peerPort).address();
        return startDaemon(nodeName(node), settings(zoneOf(node), address, seedsFor(node)));
    }
    return m_processes->start({.name = nodeName(node),
                               .program = programPath("baselinenode"),
                               .arguments = {"--listen", traffic(node).toString(), "--store", store().toString()}});
}

void Fleet::killNode(int node)
{
    m_processes->kill(nodeName(node));
}

pid_t Fleet::nodePid(int node) const
{
    return m_processes->pid(nodeName(node));
}

Endpoint Fleet::traffic(int node) const
{
    return nodeEndpoint(node, trafficPort);
}

Endpoint Fleet::target(int node) const
{
    return m_block->endpoint(targetSubnet + node / addressesPerSubnet, 1 + node % addressesPerSubnet, targetPort);
}

Result<Confirmation> Fleet::apply(int node, const Json &intent) const
{
    const auto api = "http://" + operatorAdmin(node).toString() + "/v1/plans";
    HttpRequest request;
    request.method = "POST";
    request.url = api;
    request.headers = {"Content-Type: application/json"};
    request.body = intent.dump();
    request.timeout = confirmTimeout;
    const auto plan = parseSuccess(sendHttp(request));
    if (!plan) {
        return makeError(plan.error().code(), "plan: " + plan.error().message());
    }
    request.url = api + "/" + plan->value("id", "") + "/confirm";
    request.body.clear();
    const auto response = sendHttp(request);
    const auto time = std::chrono::steady_clock::now();
    const auto confirmed = parseSuccess(response);
    if (!confirmed) {
        return makeError(confirmed.error().code(), "confirm: " + confirmed.error().message());
    }
    return Confirmation{.version = confirmed->value("version", std::uint64_t(0)), .time = time};
}

std::string Fleet::metrics(int node) const
{
    const auto port = m_options.design == Design::Hornbeam ? adminPort : trafficPort;
    HttpRequest request;
    request.url = "http://" + nodeEndpoint(node, port).toString() + "/metrics";
    const auto response = sendHttp(request);
    return response && response->status == 200 ? response->body : std::string();
}

Json Fleet::storeStatistics() const
{
    HttpRequest request;
    request.url = "http://" + store().toString() + "/control/stats";
    const auto response = sendHttp(request);
    return response ? Json::parse(response->body, nullptr, false) : Json();
}

bool Fleet::announce(int node, int number, std::chrono::milliseconds timeToLive) const
{
    const auto target =
        m_block->endpoint(churnSubnet + number / addressesPerSubnet, 1 + number % addressesPerSubnet, targetPort);
    HttpRequest request;
    request.method = "PUT";
    request.url = "http://" + nodeEndpoint(node, adminPort).toString() + "/v1/targets/" + target.toString();
    request.headers = {"Content-Type: application/json"};
    request.body =
        Json{{"service", "valvonta"}, {"slots", 10}, {"state", "serving"}, {"ttlMs", timeToLive.count()}}.dump();
    request.timeout = std::chrono::seconds(1);
    const auto response = sendHttp(request);
    return response && response->status / 100 == 2;
}

Result<bool> Fleet::start()
{
    auto started = m_processes->start({.name = "store",
                                       .program = programPath("storestandin"),
                                       .arguments = {"--listen", store().toString()},
                                       .readyLine = "listening on"});
    if (started && m_options.design == Design::Baseline) {
        started = startDaemon("operator", settings("operator", operatorAdmin(0).address(), Json::array()));
    }
    for (int node = 0; started && node < m_options.nodes; ++node) {
        started = startNode(node);
    }
    for (int node = 0; started && node < m_options.nodes && m_options.design == Design::Hornbeam; ++node) {
        started = startTarget(node);
    }
    if (!started) {
        return tl::unexpected(started.error());
    }
    return true;
}

Result<pid_t> Fleet::startDaemon(const std::string &name, const Json &settings)
{
    const auto path = m_processes->directory() / (name + ".json");
    std::ofstream(path) << settings.dump(2);
    return m_processes->start(
        {.name = name, .program = programPath("hornbeamd"), .arguments = {"--settings", path.string()}});
}

Result<pid_t> Fleet::startTarget(int node)
{
    return m_processes->start({.name = "target-" + std::to_string(node),
                               .program = programPath("targetstandin"),
                               .arguments = {"--listen",
                                             target(node).toString(),
                                             "--admin",
                                             nodeEndpoint(node, adminPort).toString(),
                                             "--service",
                                             serviceName},
                               .readyLine = "listening on",
                               .readyTimeout = startTimeout});
}

std::string Fleet::zoneOf(int node) const
{
    return "zone-" + std::to_string(node % m_options.zones);
}

Endpoint Fleet::nodeEndpoint(int node, std::uint16_t port) const
{
    return m_block->endpoint(nodeSubnet + node / addressesPerSubnet, 1 + node % addressesPerSubnet, port);
}

Endpoint Fleet::operatorAdmin(int node) const
{
    if (m_options.design == Design::Baseline) {
        return m_block->endpoint(toolSubnet, operatorLastOctet, adminPort);
    }
    return nodeEndpoint(node, adminPort);
}

Endpoint Fleet::store() const
{
    return m_block->endpoint(toolSubnet, storeLastOctet, storePort);
}

Json Fleet::settings(const std::string &zone, const std::string &address, const Json &seeds) const
{
    return {
        {"node", {{"zone", zone}, {"region", "bench"}}},
        {"traffic", {{"listen", Endpoint(address, trafficPort).toString()}}},
        {"admin", {{"listen", Endpoint(address, adminPort).toString()}}},
        {"peer", {{"listen", Endpoint(address, peerPort).toString()}, {"seeds", seeds}}},
        {"store", {{"endpoints", Json::array({store().toString()})}, {"watchersPerZone", m_options.watchersPerZone}}},
        {"log", {{"level", "info"}}}};
}

Json Fleet::seedsFor(int node) const
{
    auto seeds = Json::array();
    for (int seed = 0; seed < std::min(m_options.nodes, seedsPerZone * m_options.zones); ++seed) {
        if (seed != node) {
            seeds.push_back(nodeEndpoint(seed, peerPort).toString());
        }
    }
    return seeds;
}

} // namespace Hornbeam
