#include "faultsoak.h"

#include <hornbeam/testsupport/waiting.h>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

constexpr const char *service = "vuorolista";
constexpr const char *readPath = "/rota";

/** A change is in effect everywhere within this time (sections 1.2.7 and 1.2.9 of the design). */
constexpr std::chrono::milliseconds effectBound = 3s;

/** Time in which processes that were started or cut off become ready; has no bound of its own. */
constexpr std::chrono::milliseconds patience = 15s;

/** Longer than the deadline of each request, so that an unanswered one shows as such. */
constexpr std::chrono::milliseconds callTimeout = 30s;

constexpr auto readPause = 10ms;
constexpr auto bookingPause = 40ms;
constexpr auto changePause = 700ms;
constexpr auto faultPause = 400ms;

/** One booking in this many is sent again through another node. */
constexpr int repeatedOneIn = 3;

// Each request is another one: the nodes quarantine a request during which several targets died.
HttpRequest makeBooking(const std::string &key)
{
    HttpRequest request;
    request.method = "POST";
    request.url = "/bookings/" + key;
    request.headers = {"Idempotency-Key: " + key};
    request.body = "one slot";
    return request;
}

HttpRequest makeRead(const std::string &name)
{
    HttpRequest request;
    request.url = std::string(readPath) + "/" + name;
    return request;
}

} // namespace

FaultSoak::FaultSoak(FaultSoakOptions options, std::unique_ptr<Mesh> mesh)
    : m_options(options)
    , m_mesh(std::move(mesh))
    , m_faults(*m_mesh, options.seed)
{
}

Result<std::unique_ptr<FaultSoak>> FaultSoak::make(FaultSoakOptions options)
{
    MeshOptions meshOptions{.zones = {"tampere", "turku", "helsinki"}, .nodesPerZone = options.nodesPerZone};
    meshOptions.service = service;
    meshOptions.seed = options.seed;
    auto mesh = Mesh::make(std::move(meshOptions));
    if (!mesh) {
        return tl::unexpected(mesh.error());
    }
    std::unique_ptr<FaultSoak> soak(new FaultSoak(options, *std::move(mesh)));
    if (!soak->prepare()) {
        return makeError(ErrorCode::Unavailable, "the mesh does not serve its first version");
    }
    return soak;
}

std::string FaultSoak::keepLogs()
{
    m_mesh->processes().keepLogs();
    return m_mesh->processes().directory().string();
}

std::vector<std::string> FaultSoak::run()
{
    play();
    m_faults.endAll();
    for (const auto &error : m_faults.errors()) {
        m_ledger.addViolation(error);
    }
    recover();
    m_ledger.checkBookings(*m_mesh, m_mesh->nodeCount(), !m_faults.hasKilledTarget());
    return m_ledger.violations();
}

bool FaultSoak::prepare()
{
    const auto nodes = m_mesh->allNodes();
    return waitUntil(patience,
                     [&] {
                         const auto applied = m_mesh->apply(0, basicIntent(service));
                         m_ledger.noteConfirmed(applied.value_or(0));
                         return applied.has_value();
                     })
        && m_mesh->waitForVersion(m_ledger.confirmed(), nodes, patience, readPath);
}

void FaultSoak::play()
{
    std::vector<std::jthread> threads;
    for (const int node : m_mesh->allNodes()) {
        threads.emplace_back([this, node] { sendReads(node); });
        threads.emplace_back([this, node] { sendBookings(node); });
    }
    threads.emplace_back([this] { changeConfiguration(); });
    const Stopwatch watch;
    while (watch.elapsed() < m_options.duration) {
        m_faults.startFault();
        std::this_thread::sleep_for(faultPause);
        m_faults.endExpired();
    }
    m_stopped = true;
}

void FaultSoak::sendReads(int node)
{
    for (int i = 0; !m_stopped; ++i) {
        const auto request = makeRead(std::to_string(node) + "-" + std::to_string(i));
        m_ledger.noteRead(node, callNode(node, request));
        std::this_thread::sleep_for(readPause);
    }
}

void FaultSoak::sendBookings(int node)
{
    for (int i = 0; !m_stopped; ++i) {
        const auto key = "soak-" + std::to_string(node) + "-" + std::to_string(i);
        const auto request = makeBooking(key);
        m_ledger.noteBooking(key, callNode(node, request));
        if (i % repeatedOneIn == 0) {
            m_ledger.noteBooking(key, callNode((node + 1) % m_mesh->nodeCount(), request));
        }
        std::this_thread::sleep_for(bookingPause);
    }
}

void FaultSoak::changeConfiguration()
{
    for (int i = 0; !m_stopped; ++i) {
        const auto applied =
            m_mesh->apply(i % m_mesh->nodeCount(), routeIntent(service, "soak-" + std::to_string(++m_changes)));
        m_ledger.noteConfirmed(applied.value_or(0));
        std::this_thread::sleep_for(changePause);
    }
}

Result<HttpResponse> FaultSoak::callNode(int node, const HttpRequest &request)
{
    auto timed = request;
    timed.timeout = callTimeout;
    const auto before = m_faults.nodeEpoch(node);
    auto response = m_mesh->call(node, timed);
    const bool undisturbed = before % 2 == 0 && before == m_faults.nodeEpoch(node);
    if (!response && undisturbed) {
        m_ledger.addViolation("node " + std::to_string(node) + " did not answer " + request.method + " " + request.url
                              + ": " + response.error().message());
    }
    return response;
}

void FaultSoak::recover()
{
    const auto nodes = m_mesh->allNodes();
    if (!m_mesh->waitForVersion(m_ledger.confirmed(), nodes, patience, readPath)) {
        m_ledger.addViolation("a node does not serve the newest confirmed version after the faults");
        return;
    }
    if (!changeWithin(patience)) {
        m_ledger.addViolation("a change is not confirmed after the faults");
    } else if (!m_mesh->waitForVersion(m_ledger.confirmed(), nodes, effectBound, readPath)) {
        m_ledger.addViolation("a change after the faults is not in effect everywhere within 3 s");
    }
    for (const int node : nodes) {
        int attempt = 0;
        const bool served = waitUntil(patience, [&] {
            const auto key = "recovered-" + std::to_string(node) + "-" + std::to_string(++attempt);
            const auto response = m_mesh->call(node, makeBooking(key));
            m_ledger.noteBooking(key, response);
            return response && response->status == 200;
        });
        if (!served) {
            m_ledger.addViolation("node " + std::to_string(node) + " serves no booking after the faults");
        }
    }
}

bool FaultSoak::changeWithin(std::chrono::milliseconds timeout)
{
    return waitUntil(timeout, [&] {
        const auto applied = m_mesh->apply(0, routeIntent(service, "soak-" + std::to_string(++m_changes)));
        m_ledger.noteConfirmed(applied.value_or(0));
        return applied.has_value();
    });
}

} // namespace Hornbeam
