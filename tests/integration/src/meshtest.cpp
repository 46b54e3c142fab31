#include "meshtest.h"

#include <algorithm>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;

HttpRequest makeRequest(const std::string &method, const std::string &path, const std::string &behaviour)
{
    HttpRequest request;
    request.method = method;
    request.url = path;
    if (!behaviour.empty()) {
        request.headers.push_back("X-Target-Behaviour: " + behaviour);
    }
    return request;
}

HttpRequest makeBooking(const std::string &key, const std::string &behaviour)
{
    auto request = makeRequest("POST", "/bookings/7", behaviour);
    request.headers.push_back("Idempotency-Key: " + key);
    request.body = R"({"slot": 7})";
    return request;
}

} // namespace

MeshTest::MeshTest() = default;

MeshTest::~MeshTest() = default;

void MeshTest::startMesh(MeshOptions options)
{
    const auto service = options.service;
    mesh = require(Mesh::make(std::move(options)));
    // A node reports that it is ready when its listeners are bound; it may then still be joining the mesh.
    Result<std::uint64_t> applied = makeError(ErrorCode::Unavailable, "not attempted");
    waitUntil(waitTimeout, [&] {
        applied = mesh->apply(0, basicIntent(service));
        return applied.has_value();
    });
    version = require(applied);
    CHECK_TEXT(waitForTargets(mesh->allNodes(), allTargets()), "the nodes do not know all targets");
    CHECK_TEXT(mesh->waitForVersion(version, mesh->allNodes(), waitTimeout, "/rota"),
               "the nodes do not serve requests under the first version");
}

bool MeshTest::waitForTargets(const std::vector<int> &nodes, const std::vector<int> &targets)
{
    return std::all_of(nodes.begin(), nodes.end(), [&](int node) {
        return waitUntil(waitTimeout, [&] { return knowsTargets(node, targets); });
    });
}

bool MeshTest::knowsTargets(int node, const std::vector<int> &targets) const
{
    const auto response = mesh->callAdmin(node, makeRequest("GET", "/v1/targets", {}));
    return response && std::all_of(targets.begin(), targets.end(), [&](int target) {
               return response->body.find('"' + mesh->advertisedTarget(target).toString() + '"') != std::string::npos;
           });
}

int MeshTest::stoppedTargetCount(const std::vector<int> &targets)
{
    return static_cast<int>(std::count_if(targets.begin(), targets.end(), [&](int target) {
        return !mesh->processes().isRunning(Mesh::targetName(target));
    }));
}

std::vector<int> MeshTest::allTargets() const
{
    return mesh->allNodes();
}

Result<HttpResponse> MeshTest::book(int node, const std::string &key, const std::string &behaviour) const
{
    return mesh->call(node, makeBooking(key, behaviour));
}

std::future<Result<HttpResponse>> MeshTest::bookAsync(int node,
                                                      const std::string &key,
                                                      const std::string &behaviour) const
{
    return std::async(std::launch::async, [this, node, key, behaviour] { return book(node, key, behaviour); });
}

Result<HttpResponse> MeshTest::read(int node, const std::string &path) const
{
    return mesh->call(node, makeRequest("GET", path, {}));
}

Result<HttpResponse> MeshTest::readWithRequestId(int node,
                                                 const std::string &requestId,
                                                 const std::string &behaviour) const
{
    auto request = makeRequest("GET", "/rota/today", behaviour);
    request.headers.push_back("X-Request-Id: " + requestId);
    return mesh->call(node, std::move(request));
}

bool MeshTest::waitForExecutions(const std::string &key, std::uint64_t n) const
{
    return waitUntil(waitTimeout, [&] { return mesh->executions(key) >= n; });
}

bool MeshTest::bookUntilServed(int node, const std::string &key) const
{
    return waitUntil(waitTimeout, [&] { return statusOf(book(node, key)) == 200; });
}

std::uint64_t MeshTest::createVersion(int node)
{
    const auto route = "extra-" + std::to_string(++m_routes);
    version = require(mesh->apply(node, routeIntent("vuorolista", route)));
    return version;
}

std::string outcomeOf(const Result<HttpResponse> &response)
{
    return response ? response->header("x-hornbeam-outcome") : std::string();
}

int statusOf(const Result<HttpResponse> &response)
{
    return response ? response->status : 0;
}

std::string describe(const Result<HttpResponse> &response)
{
    if (!response) {
        return response.error().message();
    }
    return "status " + std::to_string(response->status) + ", outcome \"" + outcomeOf(response) + "\", "
        + std::to_string(response->elapsed.count()) + " ms, body " + response->body.substr(0, 300);
}

} // namespace Hornbeam
