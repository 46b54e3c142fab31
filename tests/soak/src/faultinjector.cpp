#include "faultinjector.h"

#include "soaklog.h"

#include <hornbeam/settings/settings.h>

#include <algorithm>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

/** With more concurrent faults no node is left that serves the callers, and nothing is checked. */
constexpr std::size_t maxFaults = 3;

/** Around the membership's suspicion timeout of 4 s, so that some faults are detected and others are not. */
constexpr int shortestFaultMs = 300;
constexpr int longestFaultMs = 7000;

constexpr auto faultPause = 400ms;

/** Longer than a node takes to drain after SIGTERM. */
constexpr auto stopTimeout = 20s;

// Exclusive upper bounds of the random number that selects what a fault affects: 4 of 10 faults affect a node, 2 a
// target, 1 the store, 2 a zone and 1 all links.
constexpr int nodeFaultBound = 4;
constexpr int targetFaultBound = 6;
constexpr int storeFaultBound = 7;
constexpr int zoneFaultBound = 9;
constexpr int faultChoices = 10;

std::string subjectOf(int kind, int process, const std::string &zone)
{
    if (kind < nodeFaultBound) {
        return Mesh::nodeName(process);
    }
    if (kind < targetFaultBound) {
        return Mesh::targetName(process);
    }
    if (kind < storeFaultBound) {
        return "store";
    }
    return kind < zoneFaultBound ? "zone " + zone : "links";
}

} // namespace

std::chrono::milliseconds FaultInjector::step()
{
    endExpired();
    startFault();
    return faultPause;
}

void FaultInjector::startFault()
{
    const auto kind = randomBelow(faultChoices);
    const auto process = randomBelow(m_mesh.nodeCount());
    const auto zone = m_mesh.zoneOf(randomBelow(m_mesh.nodeCount()));
    const auto duration = std::chrono::milliseconds(shortestFaultMs + randomBelow(longestFaultMs - shortestFaultMs));
    const auto subject = subjectOf(kind, process, zone);
    const bool busy = std::any_of(
        m_faults.begin(), m_faults.end(), [&subject](const Fault &fault) { return fault.subject == subject; });
    if (busy || m_faults.size() >= maxFaults) {
        return;
    }
    Fault fault{.subject = subject};
    if (kind < nodeFaultBound) {
        fault.undo = beginNodeFault(process);
    } else if (kind < targetFaultBound) {
        fault.undo = beginTargetFault(process);
    } else if (kind < storeFaultBound) {
        fault.undo = beginStoreFault();
    } else if (kind < zoneFaultBound) {
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
        logSoakEvent("end the fault of " + it->subject);
        it = m_faults.erase(it);
    }
}

void FaultInjector::finish()
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
    const auto kind = randomBelow(4);
    if (kind == 0) {
        logSoakEvent("reload " + name);
        processes.reload(name);
        return [] {
        };
    }
    if (kind == 1) {
        logSoakEvent("pause " + name);
        m_disruptions.begin(node, DisruptionKind::Pause);
        processes.pause(name);
        return [this, node, name] {
            m_mesh.processes().resume(name);
            m_disruptions.end(node);
        };
    }
    logSoakEvent(kind == 2 ? "kill " + name : "terminate " + name);
    if (kind == 2) {
        m_disruptions.begin(node, DisruptionKind::Kill);
        processes.kill(name);
    } else {
        m_disruptions.begin(node, DisruptionKind::Stop, TrafficSettings{}.stopNotice);
        processes.terminate(name);
    }
    return endNode(node);
}

std::function<void()> FaultInjector::endNode(int node)
{
    return [this, node] {
        if (!m_mesh.processes().waitForExit(Mesh::nodeName(node), stopTimeout)) {
            addError(Mesh::nodeName(node) + " did not exit");
            return;
        }
        m_disruptions.exited(node, std::chrono::steady_clock::now());
        restartNode(node);
    };
}

std::function<void()> FaultInjector::beginTargetFault(int target)
{
    auto &processes = m_mesh.processes();
    const auto name = Mesh::targetName(target);
    if (randomBelow(2) == 0) {
        logSoakEvent("pause " + name);
        processes.pause(name);
        return [this, name] {
            m_mesh.processes().resume(name);
        };
    }
    logSoakEvent("kill " + name);
    m_killedTarget = true;
    processes.kill(name);
    return [this, target, name] {
        if (const auto started = m_mesh.startTarget(target); !started) {
            addError(name + " did not start: " + started.error().message());
        }
    };
}

std::function<void()> FaultInjector::beginStoreFault()
{
    const auto kind = randomBelow(4);
    if (kind == 0) {
        logSoakEvent("pause the store");
        m_mesh.processes().pause("store");
        return [this] {
            m_mesh.processes().resume("store");
        };
    }
    if (kind == 1) {
        logSoakEvent("drop responses of the store");
        return addRule({{"kind", "dropResponse"}, {"links", {"store"}}, {"count", 10}, {"afterDrop", "silence"}});
    }
    logSoakEvent(kind == 2 ? "make the store unavailable" : "slow down the store");
    m_mesh.controlStore(kind == 2 ? Json{{"down", true}} : Json{{"latency_ms", 600}, {"answer_delay_ms", 600}});
    return [this] {
        m_mesh.controlStore({{"down", false}, {"latency_ms", 0}, {"answer_delay_ms", 0}});
    };
}

std::function<void()> FaultInjector::beginZoneFault(const std::string &zone)
{
    auto sources = Json::array();
    auto links = Json::array();
    const bool outward = randomBelow(2) == 0;
    for (const int node : outward ? m_mesh.nodesIn(zone) : m_mesh.nodesOutside(zone)) {
        sources.push_back(m_mesh.nodeAddress(node));
    }
    for (const int node : outward ? m_mesh.nodesOutside(zone) : m_mesh.nodesIn(zone)) {
        links.push_back(Mesh::nodeName(node));
    }
    if (outward && randomBelow(2) == 0) {
        links.push_back("store");
    }
    const std::string kind = randomBelow(2) == 0 ? "blackHole" : "cut";
    logSoakEvent(kind + (outward ? " from zone " : " to zone ") + zone
                 + (links.back() == "store" ? ", and to the store" : ""));
    return addRule({{"kind", kind}, {"sources", sources}, {"links", links}});
}

std::function<void()> FaultInjector::beginLinkFault()
{
    const auto kind = randomBelow(3);
    if (kind == 0) {
        logSoakEvent("stall all connections");
        return addRule({{"kind", "silent"}});
    }
    if (kind == 1) {
        logSoakEvent("delay all links");
        return addRule({{"kind", "delay"}, {"delayMs", 20}, {"jitterMs", 80}});
    }
    logSoakEvent("drop datagrams at random");
    return addRule({{"kind", "loss"}, {"probability", 0.3}});
}

std::function<void()> FaultInjector::addRule(Json rule)
{
    const auto id = "soak-" + std::to_string(++m_rules);
    rule["id"] = id;
    if (!m_mesh.addRule(rule)) {
        addError("the fault proxy rejected a rule: " + rule.dump());
    }
    return [this, id] {
        m_mesh.controlFaults({{"remove", {id}}});
    };
}

} // namespace Hornbeam
