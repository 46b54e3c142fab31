#include "faultsoak.h"

#include "faultinjector.h"
#include "plannedwork.h"

#include <hornbeam/testsupport/waiting.h>

#include <algorithm>
#include <random>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

constexpr const char *service = "vuorolista";
constexpr const char *readPath = "/rota";

/** Every node must serve a confirmed change within this time once the disruptions have ended. */
constexpr std::chrono::milliseconds convergenceBound = 3s;

/** Timeout for the start and the recovery of processes, which have no specified bound. */
constexpr std::chrono::milliseconds recoveryTimeout = 15s;

constexpr std::chrono::milliseconds readPause = 10ms;
constexpr std::chrono::milliseconds bookingPause = 40ms;
constexpr std::chrono::milliseconds downloadPause = 100ms;
constexpr std::chrono::milliseconds changePause = 700ms;

/** Every n-th booking is sent a second time through another node. */
constexpr int bookingsPerRepeat = 3;

/** During planned work, changes are confirmed in series without a pause. */
constexpr int changesPerSeries = 4;

/** At each node of a mesh of the usual size; together they exceed the link's capacity. */
constexpr int downloadCallers = 3;

/** The fault proxy's listeners for all nodes are in one subnet of 254 addresses. */
constexpr int maxNodesPerZone = 80;

/** In a mesh with twice as many nodes or more, callers send fewer requests to each node. */
constexpr int usualNodes = 12;

// From responses that take a fraction of a second on the link to some that take longer than a drain.
constexpr int minDownloadBytes = 200'000;
constexpr int maxDownloadBytes = 3'000'000;
constexpr int minDownloadDeadlineMs = 1500;
constexpr int maxDownloadDeadlineMs = 15000;

std::unique_ptr<Disruptor> makeDisruptor(const FaultSoakOptions &options, Mesh &mesh, NodeDisruptions &disruptions)
{
    if (options.mode == SoakMode::PlannedWork) {
        return std::make_unique<PlannedWork>(mesh, disruptions, options.seed);
    }
    return std::make_unique<FaultInjector>(mesh, disruptions, options.seed);
}

/** The download route; each @p revision is a change of it that does not affect requests. */
nlohmann::json exportsIntent(int revision)
{
    const nlohmann::json route = {{"name", "exports"},
                                  {"pathPrefix", "/exports"},
                                  {"service", service},
                                  {"bulk", true},
                                  {"timeoutMs", 20000 + revision}};
    return {{"operations", nlohmann::json::array({{{"op", "setRoute"}, {"route", route}}})}};
}

} // namespace

FaultSoak::FaultSoak(FaultSoakOptions options, std::unique_ptr<Mesh> mesh)
    : m_options(options)
    , m_mesh(std::move(mesh))
    , m_disruptions(m_mesh->nodeCount())
    , m_disruptor(makeDisruptor(options, *m_mesh, m_disruptions))
{
}

Result<std::unique_ptr<FaultSoak>> FaultSoak::make(FaultSoakOptions options)
{
    if (options.nodesPerZone < 1 || options.nodesPerZone > maxNodesPerZone) {
        return makeError(ErrorCode::InvalidArgument,
                         "the number of nodes per zone must be 1 to " + std::to_string(maxNodesPerZone));
    }
    MeshOptions meshOptions{.zones = {"tampere", "turku", "helsinki"}, .nodesPerZone = options.nodesPerZone};
    meshOptions.service = service;
    meshOptions.seed = options.seed;
    if (options.mode == SoakMode::PlannedWork) {
        meshOptions.settings = PlannedWork::initialSettings();
        meshOptions.relay = options.seed % 2 == 1;
        meshOptions.targetsThroughProxy = false;
    }
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
    runDisruptions();
    for (const auto &error : m_disruptor->errors()) {
        m_checker.addViolation(error);
    }
    checkRecovery();
    m_checker.checkExecutions(*m_mesh, m_mesh->nodeCount(), !m_disruptor->hasKilledTarget());
    return m_checker.violations();
}

bool FaultSoak::prepare()
{
    const auto nodes = m_mesh->allNodes();
    const auto apply = [&](const nlohmann::json &intent) {
        return waitUntil(recoveryTimeout, [&] {
            const auto applied = m_mesh->apply(0, intent);
            m_checker.recordConfirmed(applied.value_or(0));
            return applied.has_value();
        });
    };
    return apply(basicIntent(service)) && apply(exportsIntent(0))
        && m_mesh->waitForVersion(m_checker.confirmedVersion(), nodes, recoveryTimeout, readPath);
}

void FaultSoak::runDisruptions()
{
    std::vector<std::jthread> threads;
    const bool isLarge = m_mesh->nodeCount() >= 2 * usualNodes;
    for (const int node : m_mesh->allNodes()) {
        threads.emplace_back([this, node] { sendReads(node, true); });
        threads.emplace_back([this, node] { sendReads(node, false); });
        threads.emplace_back([this, node] { sendBookings(node); });
        const int downloads = m_options.mode == SoakMode::PlannedWork ? (isLarge ? 1 : downloadCallers) : 0;
        for (int i = 0; i < downloads; ++i) {
            threads.emplace_back([this, node, i] { sendDownloads(node, i); });
        }
    }
    threads.emplace_back([this] { changeConfiguration(); });
    const Stopwatch watch;
    while (watch.elapsed() < m_options.duration) {
        std::this_thread::sleep_for(m_disruptor->step());
    }
    m_disruptor->finish();
    m_stopped = true;
}

void FaultSoak::sendReads(int node, bool keepConnection)
{
    const auto name = "read-" + std::to_string(node) + (keepConnection ? "-kept" : "-new");
    SoakCaller caller(
        {.name = name, .node = node, .keepsConnection = keepConnection}, *m_mesh, m_disruptions, m_checker);
    while (!m_stopped) {
        caller.read();
        pause(readPause);
    }
}

void FaultSoak::sendBookings(int node)
{
    const int other = (node + 1) % m_mesh->nodeCount();
    const auto name = "book-" + std::to_string(node);
    SoakCaller caller({.name = name, .node = node}, *m_mesh, m_disruptions, m_checker);
    SoakCaller repeater({.name = name + "-repeat", .node = other}, *m_mesh, m_disruptions, m_checker);
    for (int i = 0; !m_stopped; ++i) {
        const auto key = "soak-" + std::to_string(node) + "-" + std::to_string(i);
        const bool repeats = i % bookingsPerRepeat == 0;
        caller.book(key, !repeats);
        if (repeats) {
            repeater.book(key, false);
        }
        pause(bookingPause);
    }
}

void FaultSoak::sendDownloads(int node, int caller)
{
    const auto name = "download-" + std::to_string(node) + "-" + std::to_string(caller);
    std::seed_seq seed{m_options.seed, std::uint64_t(node), std::uint64_t(caller)};
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::size_t> bytes(minDownloadBytes, maxDownloadBytes);
    std::uniform_int_distribution<int> deadline(minDownloadDeadlineMs, maxDownloadDeadlineMs);
    SoakCaller client({.name = name, .node = node, .keepsConnection = caller > 0}, *m_mesh, m_disruptions, m_checker);
    while (!m_stopped) {
        const auto n = bytes(random);
        client.download(n, std::chrono::milliseconds(deadline(random)));
        pause(downloadPause);
    }
}

void FaultSoak::changeConfiguration()
{
    const int series = m_options.mode == SoakMode::PlannedWork ? changesPerSeries : 1;
    for (int i = 0; !m_stopped; ++i) {
        ++m_changes;
        const auto applied = m_mesh->apply(
            i % m_mesh->nodeCount(),
            m_changes % 2 == 0 ? exportsIntent(m_changes) : routeIntent(service, "soak-" + std::to_string(m_changes)));
        m_checker.recordConfirmed(applied.value_or(0));
        if (i % series == 0) {
            std::this_thread::sleep_for(changePause);
        }
    }
}

void FaultSoak::checkRecovery()
{
    const auto nodes = m_mesh->allNodes();
    if (!m_mesh->waitForVersion(m_checker.confirmedVersion(), nodes, recoveryTimeout, readPath)) {
        m_checker.addViolation("a node did not serve the newest confirmed version after the disruptions had ended");
        return;
    }
    if (!applyChangeWithin(recoveryTimeout)) {
        m_checker.addViolation("no change could be confirmed after the disruptions had ended");
    } else if (!m_mesh->waitForVersion(m_checker.confirmedVersion(), nodes, convergenceBound, readPath)) {
        m_checker.addViolation("a change after the disruptions was not served by every node within 3 s");
    }
    for (const int node : nodes) {
        const auto name = "recovered-" + std::to_string(node);
        SoakCaller caller({.name = name, .node = node}, *m_mesh, m_disruptions, m_checker);
        int attempt = 0;
        const bool served =
            waitUntil(recoveryTimeout, [&] { return caller.book(name + '-' + std::to_string(++attempt), true); });
        if (!served) {
            m_checker.addViolation("node " + std::to_string(node)
                                   + " served no booking after the disruptions had ended");
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

void FaultSoak::pause(std::chrono::milliseconds duration) const
{
    std::this_thread::sleep_for(duration * std::max(1, m_mesh->nodeCount() / usualNodes));
}

} // namespace Hornbeam
