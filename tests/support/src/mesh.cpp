#include <hornbeam/testsupport/mesh.h>
#include <hornbeam/testsupport/waiting.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <future>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t trafficPort = 8080;
constexpr std::uint16_t adminPort = 8081;
constexpr std::uint16_t peerPort = 8082;
constexpr std::uint16_t relayPort = 8083;
constexpr std::uint16_t targetPort = 9000;
constexpr std::uint16_t storePort = 2379;
constexpr std::uint16_t faultControlPort = 7900;

/** Third octet of the addresses. The link subnets have the fault proxy's listeners for the nodes and the targets. */
constexpr int toolSubnet = 0;
constexpr int nodeSubnet = 1;
constexpr int nodeLinkSubnet = 2;
constexpr int targetSubnet = 3;
constexpr int targetLinkSubnet = 4;

/** Fourth octet of the addresses in the tool subnet. */
constexpr int faultControlOctet = 1;
constexpr int storeOctet = 2;
constexpr int storeLinkOctet = 3;

constexpr std::chrono::milliseconds startTimeout{15000};
constexpr std::chrono::milliseconds probeTimeout{500};

bool succeeded(const Result<HttpResponse> &response)
{
    return response && response->status >= 200 && response->status < 300;
}

PlanResult toPlanResult(const Result<HttpResponse> &response)
{
    if (!response) {
        return {.status = 0, .body = response.error().message()};
    }
    return {.status = response->status, .body = Json::parse(response->body, nullptr, false)};
}

} // namespace

Mesh::Mesh(MeshOptions options)
    : m_options(std::move(options))
    , m_processes(std::make_unique<ProcessGroup>())
{
}

Result<std::unique_ptr<Mesh>> Mesh::make(MeshOptions options)
{
    if (options.zones.empty()) {
        return makeError(ErrorCode::InvalidArgument, "a mesh needs at least one zone");
    }
    std::unique_ptr<Mesh> mesh(new Mesh(std::move(options)));
    auto block = AddressBlock::reserve();
    if (!block) {
        return tl::unexpected(block.error());
    }
    mesh->m_block = *std::move(block);
    const auto started = mesh->start();
    if (!started) {
        return tl::unexpected(started.error());
    }
    return mesh;
}

int Mesh::nodeCount() const
{
    return static_cast<int>(m_options.zones.size()) * m_options.nodesPerZone;
}

std::vector<int> Mesh::nodesIn(const std::string &zone) const
{
    auto nodes = allNodes();
    std::erase_if(nodes, [&](int node) { return zoneOf(node) != zone; });
    return nodes;
}

std::vector<int> Mesh::nodesOutside(const std::string &zone) const
{
    auto nodes = allNodes();
    const auto inside = nodesIn(zone);
    std::erase_if(nodes, [&](int node) { return std::find(inside.begin(), inside.end(), node) != inside.end(); });
    return nodes;
}

std::vector<int> Mesh::allNodes() const
{
    std::vector<int> nodes;
    for (int i = 0; i < nodeCount(); ++i) {
        nodes.push_back(i);
    }
    return nodes;
}

const std::string &Mesh::zoneOf(int node) const
{
    return m_options.zones[static_cast<std::size_t>(node) % m_options.zones.size()];
}

std::string Mesh::nodeName(int node)
{
    return "node-" + std::to_string(node);
}

std::string Mesh::targetName(int target)
{
    return "target-" + std::to_string(target);
}

void Mesh::setNodeSettings(Json patch)
{
    m_options.settings = std::move(patch);
}

Result<pid_t> Mesh::startNode(int node)
{
    const auto path = m_processes->directory() / (nodeName(node) + ".json");
    std::ofstream(path) << nodeSettings(node).dump(2);
    return m_processes->start({.name = nodeName(node),
                               .program = programPath("hornbeamd"),
                               .arguments = {"--settings", path.string()},
                               .readyLine = "hornbeamd is ready",
                               .readyTimeout = startTimeout});
}

Result<pid_t> Mesh::startTarget(int target)
{
    std::vector<std::string> arguments = {"--listen",
                                          targetListener(target).toString(),
                                          "--advertise",
                                          advertisedTarget(target).toString(),
                                          "--admin",
                                          admin(target % nodeCount()).toString(),
                                          "--service",
                                          m_options.service};
    arguments.insert(arguments.end(), m_options.targetArguments.begin(), m_options.targetArguments.end());
    return m_processes->start({.name = targetName(target),
                               .program = programPath("targetstandin"),
                               .arguments = std::move(arguments),
                               .readyLine = "listening on",
                               .readyTimeout = startTimeout});
}

std::string Mesh::nodeAddress(int node) const
{
    return m_block->address(nodeSubnet, node + 1);
}

Endpoint Mesh::traffic(int node) const
{
    return {nodeAddress(node), trafficPort};
}

Endpoint Mesh::admin(int node) const
{
    return {nodeAddress(node), adminPort};
}

Endpoint Mesh::advertisedTarget(int target) const
{
    if (!m_options.targetsThroughProxy) {
        return targetListener(target);
    }
    return m_block->endpoint(targetLinkSubnet, target + 1, targetPort);
}

Endpoint Mesh::targetListener(int target) const
{
    return m_block->endpoint(targetSubnet, target + 1, targetPort);
}

Endpoint Mesh::faultControl() const
{
    return m_block->endpoint(toolSubnet, faultControlOctet, faultControlPort);
}

Endpoint Mesh::store() const
{
    return m_block->endpoint(toolSubnet, storeOctet, storePort);
}

Json Mesh::nodeSettings(int node) const
{
    const auto zones = m_options.zones.size();
    auto seeds = Json::array();
    // The first node of each zone is a seed.
    for (int seed = 0; seed < static_cast<int>(zones); ++seed) {
        if (seed != node) {
            seeds.push_back(m_block->endpoint(nodeLinkSubnet, seed + 1, peerPort).toString());
        }
    }
    Json settings = {
        {"node", {{"zone", zoneOf(node)}, {"region", "fi-south"}}},
        {"traffic", {{"listen", traffic(node).toString()}, {"threads", 1}}},
        {"admin", {{"listen", admin(node).toString()}}},
        {"peer",
         {{"listen", Endpoint(nodeAddress(node), peerPort).toString()},
          {"advertise", m_block->endpoint(nodeLinkSubnet, node + 1, peerPort).toString()},
          {"seeds", seeds}}},
        {"store", {{"endpoints", {m_block->endpoint(toolSubnet, storeLinkOctet, storePort).toString()}}}},
        {"log", {{"level", "info"}}},
    };
    if (m_options.relay) {
        settings["traffic"]["relayListen"] = Endpoint(nodeAddress(node), relayPort).toString();
    }
    settings.merge_patch(m_options.settings);
    return settings;
}

Result<HttpResponse> Mesh::call(int node, HttpRequest request) const
{
    request.url = "http://" + traffic(node).toString() + request.url;
    return sendHttp(request);
}

Result<HttpResponse> Mesh::callAdmin(int node, HttpRequest request) const
{
    request.url = "http://" + admin(node).toString() + request.url;
    return sendHttp(request);
}

PlanResult Mesh::plan(int node, const Json &intent) const
{
    HttpRequest request;
    request.method = "POST";
    request.url = "/v1/plans";
    request.headers = {"Content-Type: application/json"};
    request.body = intent.dump();
    return toPlanResult(callAdmin(node, std::move(request)));
}

PlanResult Mesh::confirm(int node, const std::string &planId) const
{
    HttpRequest request;
    request.method = "POST";
    request.url = "/v1/plans/" + planId + "/confirm";
    return toPlanResult(callAdmin(node, std::move(request)));
}

Result<std::uint64_t> Mesh::apply(int node, const Json &intent) const
{
    const auto planned = plan(node, intent);
    if (planned.status / 100 != 2 || !planned.body.contains("id")) {
        return makeError(ErrorCode::InvalidArgument,
                         "plan: status " + std::to_string(planned.status) + " " + planned.body.dump());
    }
    const auto confirmed = confirm(node, planned.body["id"].get<std::string>());
    if (confirmed.status / 100 != 2 || !confirmed.body.contains("version")) {
        return makeError(ErrorCode::Conflict,
                         "confirm: status " + std::to_string(confirmed.status) + " " + confirmed.body.dump());
    }
    return confirmed.body["version"].get<std::uint64_t>();
}

std::uint64_t Mesh::versionIfSuccessful(int node, const std::string &path) const
{
    HttpRequest request;
    request.url = path;
    request.timeout = probeTimeout;
    const auto response = call(node, std::move(request));
    if (!succeeded(response)) {
        return 0;
    }
    return versionOf(*response);
}

std::optional<std::uint64_t> Mesh::versionUnlessServerError(int node, const std::string &path) const
{
    HttpRequest request;
    request.url = path;
    request.timeout = probeTimeout;
    const auto response = call(node, std::move(request));
    if (!response || response->status >= 500) {
        return std::nullopt;
    }
    return versionOf(*response);
}

bool Mesh::waitForVersion(std::uint64_t version,
                          const std::vector<int> &nodes,
                          std::chrono::milliseconds timeout,
                          const std::string &path) const
{
    // The nodes are asked at the same time, so that a slow response of one does not use up the time of the others.
    std::vector<std::future<bool>> served;
    for (const int node : nodes) {
        served.push_back(std::async(std::launch::async, [&, node] {
            return waitUntil(timeout, [&] { return versionIfSuccessful(node, path) >= version; });
        }));
    }
    return std::count_if(served.begin(), served.end(), [](auto &it) { return !it.get(); }) == 0;
}

bool Mesh::controlFaults(const Json &request) const
{
    HttpRequest control;
    control.method = "POST";
    control.url = "http://" + faultControl().toString() + "/control";
    control.body = request.dump();
    return succeeded(sendHttp(control));
}

bool Mesh::controlStore(const Json &request) const
{
    HttpRequest control;
    control.method = "POST";
    control.url = "http://" + store().toString() + "/control";
    control.body = request.dump();
    return succeeded(sendHttp(control));
}

std::uint64_t Mesh::storedKeyCount(const std::string &key, const std::string &end) const
{
    HttpRequest range;
    range.method = "POST";
    range.url = "http://" + store().toString() + "/v3/kv/range";
    range.body = Json{{"key", key}, {"range_end", end}, {"keys_only", true}}.dump();
    const auto response = sendHttp(range);
    const auto body = response ? Json::parse(response->body, nullptr, false) : Json();
    return body.is_object() && body.contains("kvs") ? body["kvs"].size() : 0;
}

Json Mesh::faultStatistics() const
{
    HttpRequest request;
    request.url = "http://" + faultControl().toString() + "/control/stats";
    const auto response = sendHttp(request);
    return response ? Json::parse(response->body, nullptr, false) : Json();
}

Json Mesh::storeStatistics() const
{
    HttpRequest request;
    request.url = "http://" + store().toString() + "/control/stats";
    const auto response = sendHttp(request);
    return response ? Json::parse(response->body, nullptr, false) : Json();
}

bool Mesh::addRule(const Json &rule) const
{
    return controlFaults({{"rules", Json::array({rule})}});
}

bool Mesh::clearRules() const
{
    return controlFaults({{"clear", true}});
}

bool Mesh::partitionZone(const std::string &zone, bool alsoFromStore) const
{
    const auto inside = nodesIn(zone);
    const auto outside = nodesOutside(zone);
    const auto rule = [&](const std::vector<int> &from, const std::vector<int> &to) {
        auto links = Json::array();
        for (const int node : to) {
            links.push_back(nodeName(node));
        }
        return Json{{"kind", "blackHole"}, {"sources", addressesOf(from)}, {"links", links}};
    };
    auto rules = Json::array({rule(inside, outside), rule(outside, inside)});
    if (alsoFromStore) {
        rules.push_back({{"kind", "blackHole"}, {"sources", addressesOf(inside)}, {"links", {"store"}}});
    }
    return controlFaults({{"rules", rules}});
}

Json Mesh::targetStats(int target) const
{
    HttpRequest request;
    request.url = "http://" + targetListener(target).toString() + "/stats";
    const auto response = sendHttp(request);
    return response ? Json::parse(response->body, nullptr, false) : Json();
}

std::uint64_t Mesh::executions(const std::string &key) const
{
    std::uint64_t total = 0;
    for (int target = 0; target < nodeCount() * m_options.targetsPerNode; ++target) {
        const auto stats = targetStats(target);
        if (stats.is_object()) {
            total += stats["executions"].value(key, std::uint64_t(0));
        }
    }
    return total;
}

Result<bool> Mesh::start()
{
    const auto tools = startStoreAndProxy();
    if (!tools) {
        return tools;
    }
    for (int node = 0; node < nodeCount(); ++node) {
        const auto started = startNode(node);
        if (!started) {
            return tl::unexpected(started.error());
        }
    }
    for (int target = 0; target < nodeCount() * m_options.targetsPerNode; ++target) {
        const auto started = startTarget(target);
        if (!started) {
            return tl::unexpected(started.error());
        }
    }
    return true;
}

Result<bool> Mesh::startStoreAndProxy()
{
    std::vector<std::string> storeArguments = {"--listen", store().toString()};
    storeArguments.insert(storeArguments.end(), m_options.storeArguments.begin(), m_options.storeArguments.end());
    const auto storeStarted = m_processes->start({.name = "store",
                                                  .program = programPath("storestandin"),
                                                  .arguments = std::move(storeArguments),
                                                  .readyLine = "listening on"});
    if (!storeStarted) {
        return tl::unexpected(storeStarted.error());
    }
    const auto proxyStarted = m_processes->start(
        {.name = "faultproxy",
         .program = programPath("faultproxy"),
         .arguments = {"--listen-control", faultControl().toString(), "--seed", std::to_string(m_options.seed)},
         .readyLine = "listening on"});
    if (!proxyStarted) {
        return tl::unexpected(proxyStarted.error());
    }
    if (!controlFaults({{"links", links()}})) {
        return makeError(ErrorCode::Unavailable, "the fault proxy did not accept the links");
    }
    return true;
}

Json Mesh::links() const
{
    auto result = Json::array();
    const auto add = [&](const std::string &name, const Endpoint &listen, const Endpoint &forward) {
        result.push_back({{"name", name}, {"listen", listen.toString()}, {"forward", forward.toString()}});
    };
    add("store", m_block->endpoint(toolSubnet, storeLinkOctet, storePort), store());
    for (int node = 0; node < nodeCount(); ++node) {
        add(nodeName(node), m_block->endpoint(nodeLinkSubnet, node + 1, peerPort), {nodeAddress(node), peerPort});
    }
    for (int target = 0; target < nodeCount() * m_options.targetsPerNode; ++target) {
        add(targetName(target), m_block->endpoint(targetLinkSubnet, target + 1, targetPort), targetListener(target));
    }
    return result;
}

std::vector<std::string> Mesh::addressesOf(const std::vector<int> &nodes) const
{
    std::vector<std::string> addresses;
    for (const int node : nodes) {
        addresses.push_back(nodeAddress(node));
    }
    return addresses;
}

std::uint64_t versionOf(const HttpResponse &response)
{
    const auto text = response.header("x-hornbeam-version");
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

Json basicIntent(const std::string &service)
{
    const Json bookings = {
        {"name", "bookings"}, {"pathPrefix", "/bookings"}, {"service", service}, {"idempotent", false}};
    const Json reads = {{"name", "reads"}, {"pathPrefix", "/"}, {"service", service}, {"idempotent", true}};
    return {{"operations",
             {{{"op", "setService"}, {"service", {{"name", service}}}},
              {{"op", "setRoute"}, {"route", reads}},
              {{"op", "setRoute"}, {"route", bookings}}}}};
}

Json routeIntent(const std::string &service, const std::string &route)
{
    const Json value = {{"name", route}, {"pathPrefix", "/" + route}, {"service", service}, {"idempotent", true}};
    return {{"operations", Json::array({{{"op", "setRoute"}, {"route", value}}})}};
}

} // namespace Hornbeam
