#include "faultsoak.h"

#include <hornbeam/testsupport/waiting.h>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

constexpr const char *service = "vuorolista";
constexpr const char *readPath = "/rota";

/** Every node must serve a confirmed change within this time once the faults have ended. */
constexpr std::chrono::milliseconds convergenceBound = 3s;

/** Timeout for the start and the recovery of processes, which have no specified bound. */
constexpr std::chrono::milliseconds recoveryTimeout = 15s;

/** Longer than the nodes' request timeout, so that only a request without any response reaches it. */
constexpr std::chrono::milliseconds callTimeout = 30s;

constexpr auto readPause = 10ms;
constexpr auto bookingPause = 40ms;
constexpr auto changePause = 700ms;
constexpr auto faultPause = 400ms;

/** Every n-th booking is sent a second time through another node. */
constexpr int bookingsPerRepeat = 3;

// Every request is unique, because nodes quarantine a request that several targets were executing when they crashed.
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
        return makeError(ErrorCode::Unavailable, "the nodes did not serve the first version");
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
    injectFaults();
    m_faults.endAll();
    for (const auto &error : m_faults.errors()) {
        m_checker.addViolation(error);
    }
    checkRecovery();
    m_checker.checkBookings(*m_mesh, m_mesh->nodeCount(), !m_faults.hasKilledTarget());
    return m_checker.violations();
}

bool FaultSoak::prepare()
{
    const auto nodes = m_mesh->allNodes();
    return waitUntil(recoveryTimeout,
                     [&] {
                         const auto applied = m_mesh->apply(0, basicIntent(service));
                         m_checker.recordConfirmed(applied.value_or(0));
                         return applied.has_value();
                     })
        && m_mesh->waitForVersion(m_checker.confirmedVersion(), nodes, recoveryTimeout, readPath);
}

void FaultSoak::injectFaults()
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
        m_checker.recordRead(node, callNode(node, request));
        std::this_thread::sleep_for(readPause);
    }
}

void FaultSoak::sendBookings(int node)
{
    for (int i = 0; !m_stopped; ++i) {
        const auto key = "soak-" + std::to_string(node) + "-" + std::to_string(i);
        const auto request = makeBooking(key);
        m_checker.recordBooking(key, callNode(node, request));
        if (i % bookingsPerRepeat == 0) {
            m_checker.recordBooking(key, callNode((node + 1) % m_mesh->nodeCount(), request));
        }
        std::this_thread::sleep_for(bookingPause);
    }
}

void FaultSoak::changeConfiguration()
{
    for (int i = 0; !m_stopped; ++i) {
        const auto applied =
            m_mesh->apply(i % m_mesh->nodeCount(), routeIntent(service, "soak-" + std::to_string(++m_changes)));
        m_checker.recordConfirmed(applied.value_or(0));
        std::this_thread::sleep_for(changePause);
    }
}

Result<HttpResponse> FaultSoak::callNode(int node, const HttpRequest &request)
{
    auto timed = request;
    timed.timeout = callTimeout;
    const auto before = m_faults.nodeFaultTransitions(node);
    auto response = m_mesh->call(node, timed);
    const bool undisturbed = before % 2 == 0 && before == m_faults.nodeFaultTransitions(node);
    if (!response && undisturbed) {
        m_checker.addViolation("node " + std::to_string(node) + " did not respond to " + request.method + " "
                               + request.url + ": " + response.error().message());
    }
    return response;
}

void FaultSoak::checkRecovery()
{
    const auto nodes = m_mesh->allNodes();
    if (!m_mesh->waitForVersion(m_checker.confirmedVersion(), nodes, recoveryTimeout, readPath)) {
        m_checker.addViolation("a node did not serve the newest confirmed version after the faults had ended");
        return;
    }
    if (!applyChangeWithin(recoveryTimeout)) {
        m_checker.addViolation("no change could be confirmed after the faults had ended");
    } else if (!m_mesh->waitForVersion(m_checker.confirmedVersion(), nodes, convergenceBound, readPath)) {
        m_checker.addViolation("a change after the faults was not served by every node within 3 s");
    }
    for (const int node : nodes) {
        int attempt = 0;
        const bool served = waitUntil(recoveryTimeout, [&] {
            const auto key = "recovered-" + std::to_string(node) + "-" + std::to_string(++attempt);
            const auto response = m_mesh->call(node, makeBooking(key));
            m_checker.recordBooking(key, response);
            return response && response->status == 200;
        });
        if (!served) {
            m_checker.addViolation("node " + std::to_string(node) + " served no booking after the faults had ended");
        }
    }
}

bool FaultSoak::applyChangeWithin(std::chrono::milliseconds timeout)
{
    return waitUntil(timeout, [&] {
        const auto applied = m_mesh->apply(0, routeIntent(service, "soak-" + std::to_string(++m_changes)));
        m_checker.recordConfirmed(applied.value_or(0));
        return applied.has_value();
    });
}

} // namespace Hornbeam
