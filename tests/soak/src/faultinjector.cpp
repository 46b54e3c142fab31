#include "faultinjector.h"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

/** More faults at a time leave no node to serve the callers, so that nothing is checked. */
constexpr std::size_t maxFaults = 3;

/** Around the bounds of the membership (suspicion after 4 s), so that some faults are noticed and others are not. */
constexpr int shortestFaultMs = 300;
constexpr int longestFaultMs = 7000;

/** Longer than the drain of a node that was told to stop. */
constexpr auto stopTimeout = 20s;

// Upper bounds of the random number that chooses what a fault affects: four in ten affect a node, and so on.
constexpr int nodeKinds = 4;
constexpr int targetKinds = 6;
constexpr int storeKinds = 7;
constexpr int zoneKinds = 9;
constexpr int allKinds = 10;

std::string subjectOf(int kind, int process, const std::string &zone)
{
    if (kind < nodeKinds) {
        return Mesh::nodeName(process);
    }
    if (kind < targetKinds) {
        return Mesh::targetName(process);
    }
    if (kind < storeKinds) {
        return "store";
    }
    return kind < zoneKinds ? "zone " + zone : "links";
}

} // namespace

FaultInjector::FaultInjector(Mesh &mesh, std::uint64_t seed)
    : m_mesh(mesh)
    , m_random(seed)
    , m_epochs(std::make_unique<std::atomic<std::uint64_t>[]>(static_cast<std::size_t>(mesh.nodeCount())))
{
}

std::uint64_t FaultInjector::nodeEpoch(int node) const
{
    return m_epochs[static_cast<std::size_t>(node)];
}

void FaultInjector::startFault()
{
    const auto kind = below(allKinds);
    const auto process = below(m_mesh.nodeCount());
    const auto zone = m_mesh.zoneOf(below(m_mesh.nodeCount()));
    const auto duration = std::chrono::milliseconds(shortestFaultMs + below(longestFaultMs - shortestFaultMs));
    const auto subject = subjectOf(kind, process, zone);
    const bool busy = std::any_of(
        m_faults.begin(), m_faults.end(), [&subject](const Fault &fault) { return fault.subject == subject; });
    if (busy || m_faults.size() >= maxFaults) {
        return;
    }
    Fault fault{.subject = subject};
    if (kind < nodeKinds) {
        fault.undo = beginNodeFault(process);
    } else if (kind < targetKinds) {
        fault.undo = beginTargetFault(process);
    } else if (kind < storeKinds) {
        fault.undo = beginStoreFault();
    } else if (kind < zoneKinds) {
        fault.undo = beginZoneFault(zone);
    } else {
        fault.undo = beginLinkFault();
    }
    fault.end = std::chrono::steady_clock::now() + duration;
    m_faults.push_back(std::move(fault));
}

void FaultInjector::endExpired()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto it = m_faults.begin(); it != m_faults.end();) {
        if (it->end > now) {
            ++it;
            continue;
        }
        it->undo();
        log("end " + it->subject);
        it = m_faults.erase(it);
    }
}

void FaultInjector::endAll()
{
    for (auto &fault : m_faults) {
        fault.end = {};
    }
    endExpired();
    m_mesh.clearRules();
}

std::function<void()> FaultInjector::beginNodeFault(int node)
{
    auto &processes = m_mesh.processes();
    const auto name = Mesh::nodeName(node);
    auto &epoch = m_epochs[static_cast<std::size_t>(node)];
    const auto kind = below(4);
    if (kind == 0) {
        log("reload " + name);
        ::kill(processes.pid(name), SIGHUP);
        return [] {
        };
    }
    ++epoch;
    if (kind == 1) {
        log("freeze " + name);
        processes.freeze(name);
        return [this, name, &epoch] {
            m_mesh.processes().wake(name);
            ++epoch;
        };
    }
    log(kind == 2 ? "kill " + name : "stop " + name);
    if (kind == 2) {
        processes.kill(name);
    } else {
        processes.terminate(name);
    }
    return [this, node, name, &epoch] {
        if (!m_mesh.processes().waitForExit(name, stopTimeout)) {
            m_errors.push_back(name + " did not stop");
            return;
        }
        if (const auto started = m_mesh.startNode(node); !started) {
            m_errors.push_back(name + " did not start: " + started.error().message());
        }
        ++epoch;
    };
}

std::function<void()> FaultInjector::beginTargetFault(int target)
{
    auto &processes = m_mesh.processes();
    const auto name = Mesh::targetName(target);
    if (below(2) == 0) {
        log("freeze " + name);
        processes.freeze(name);
        return [this, name] {
            m_mesh.processes().wake(name);
        };
    }
    log("kill " + name);
    m_killedTarget = true;
    processes.kill(name);
    return [this, target, name] {
        if (const auto started = m_mesh.startTarget(target); !started) {
            m_errors.push_back(name + " did not start: " + started.error().message());
        }
    };
}

std::function<void()> FaultInjector::beginStoreFault()
{
    const auto kind = below(4);
    if (kind == 0) {
        log("freeze store");
        m_mesh.processes().freeze("store");
        return [this] {
            m_mesh.processes().wake("store");
        };
    }
    if (kind == 1) {
        log("lose answers of store");
        return addRule({{"kind", "dropResponse"}, {"links", {"store"}}, {"count", 10}, {"afterDrop", "silence"}});
    }
    log(kind == 2 ? "store down" : "store slow");
    m_mesh.controlStore(kind == 2 ? Json{{"down", true}} : Json{{"latency_ms", 600}, {"answer_delay_ms", 600}});
    return [this] {
        m_mesh.controlStore({{"down", false}, {"latency_ms", 0}, {"answer_delay_ms", 0}});
    };
}

std::function<void()> FaultInjector::beginZoneFault(const std::string &zone)
{
    auto sources = Json::array();
    auto links = Json::array();
    const bool outward = below(2) == 0;
    for (const int node : outward ? m_mesh.nodesIn(zone) : m_mesh.nodesOutside(zone)) {
        sources.push_back(m_mesh.nodeAddress(node));
    }
    for (const int node : outward ? m_mesh.nodesOutside(zone) : m_mesh.nodesIn(zone)) {
        links.push_back(Mesh::nodeName(node));
    }
    if (outward && below(2) == 0) {
        links.push_back("store");
    }
    const std::string kind = below(2) == 0 ? "blackHole" : "cut";
    log(kind + (outward ? " from " : " to ") + zone + (links.back() == "store" ? " with the store" : ""));
    return addRule({{"kind", kind}, {"sources", sources}, {"links", links}});
}

std::function<void()> FaultInjector::beginLinkFault()
{
    const auto kind = below(3);
    if (kind == 0) {
        log("silent connections");
        return addRule({{"kind", "silent"}});
    }
    if (kind == 1) {
        log("delayed links");
        return addRule({{"kind", "delay"}, {"delayMs", 20}, {"jitterMs", 80}});
    }
    log("lost datagrams");
    return addRule({{"kind", "loss"}, {"probability", 0.3}});
}

std::function<void()> FaultInjector::addRule(Json rule)
{
    const auto id = "soak-" + std::to_string(++m_rules);
    rule["id"] = id;
    if (!m_mesh.addRule(rule)) {
        m_errors.push_back("the fault proxy refused a rule: " + rule.dump());
    }
    return [this, id] {
        m_mesh.controlFaults({{"remove", {id}}});
    };
}

int FaultInjector::below(int n)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(n));
}

void FaultInjector::log(const std::string &text) const
{
    const auto elapsed = std::chrono::steady_clock::now() - m_start;
    std::cout << std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count() << " ms: " << text << std::endl;
}

} // namespace Hornbeam
