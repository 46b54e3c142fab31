#include "plannedwork.h"

#include "soaklog.h"

#include <algorithm>
#include <thread>

namespace Hornbeam {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr auto stepPause = 5ms;

/** Upper bounds of the random delays of a series' signals. */
constexpr int stopSpreadMs = 600;
constexpr int reloadSpreadMs = 400;
constexpr int repeatedStopMs = 500;
constexpr int restartDelayMs = 800;

/** Bounds of the time between the starts of two series. Stops take up to the drain bound, so series overlap. */
constexpr int minSeriesPauseMs = 300;
constexpr int maxSeriesPauseMs = 6000;

/** Most series stop at most half of the nodes; one in this number may stop all nodes. */
constexpr int seriesPerFleetStop = 8;

/** One in this number of nodes receives SIGTERM a second time. */
constexpr int stopsPerRepetition = 4;

/** Bounds of the settings of a node that starts again. */
constexpr int minDrainBoundMs = 2500;
constexpr int maxDrainBoundMs = 5000;
constexpr int minStopNoticeMs = 300;
constexpr int maxStopNoticeMs = 900;
constexpr int minLinkMegabits = 4;
constexpr int maxLinkMegabits = 16;

/** Time for the end of a process after its drain bound. */
constexpr auto exitMargin = 2s;

/** A node that has not exited by then is killed. */
constexpr auto exitTimeout = 30s;

} // namespace

nlohmann::json PlannedWork::initialSettings()
{
    return NodeSettings{}.toPatch();
}

milliseconds PlannedWork::step()
{
    const auto now = std::chrono::steady_clock::now();
    if (now >= m_nextStops) {
        scheduleStops();
        m_nextStops = now + milliseconds(minSeriesPauseMs + randomBelow(maxSeriesPauseMs - minSeriesPauseMs));
    }
    if (now >= m_nextReloads) {
        scheduleReloads();
        m_nextReloads = now + milliseconds(minSeriesPauseMs + randomBelow(maxSeriesPauseMs - minSeriesPauseMs));
    }
    runDueActions();
    checkExits();
    return stepPause;
}

void PlannedWork::finish()
{
    m_finishing = true;
    const auto deadline = std::chrono::steady_clock::now() + exitTimeout;
    while (!m_stops.empty()) {
        runDueActions();
        checkExits();
        if (std::chrono::steady_clock::now() >= deadline) {
            for (const auto &[node, stop] : m_stops) {
                m_mesh.processes().kill(Mesh::nodeName(node));
            }
        }
        std::this_thread::sleep_for(stepPause);
    }
}

void PlannedWork::scheduleStops()
{
    auto nodes = m_mesh.allNodes();
    std::shuffle(nodes.begin(), nodes.end(), m_random);
    const int most = randomBelow(seriesPerFleetStop) == 0 ? m_mesh.nodeCount() : m_mesh.nodeCount() / 2;
    const int n = 1 + randomBelow(most);
    for (int i = 0; i < n; ++i) {
        const int node = nodes[static_cast<std::size_t>(i)];
        after(milliseconds(randomBelow(stopSpreadMs)), [this, node] { stop(node); });
    }
}

void PlannedWork::scheduleReloads()
{
    const int n = 1 + randomBelow(m_mesh.nodeCount() * 2);
    for (int i = 0; i < n; ++i) {
        const auto name = Mesh::nodeName(randomBelow(m_mesh.nodeCount()));
        after(milliseconds(randomBelow(reloadSpreadMs)), [this, name] {
            logSoakEvent("reload " + name);
            m_mesh.processes().reload(name);
        });
    }
}

void PlannedWork::after(milliseconds delay, std::function<void()> action)
{
    m_actions.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
}

void PlannedWork::runDueActions()
{
    while (!m_actions.empty() && m_actions.begin()->first <= std::chrono::steady_clock::now()) {
        const auto action = std::move(m_actions.begin()->second);
        m_actions.erase(m_actions.begin());
        action();
    }
}

void PlannedWork::stop(int node)
{
    if (m_finishing || m_stops.contains(node)) {
        return;
    }
    const auto name = Mesh::nodeName(node);
    logSoakEvent("terminate " + name);
    auto exit = m_mesh.processes().exitTime(name);
    m_disruptions.begin(node, DisruptionKind::Stop, m_settings[node].stopNotice);
    m_stops[node] = {.requested = std::chrono::steady_clock::now(), .exit = std::move(exit)};
    m_mesh.processes().terminate(name);
    if (randomBelow(stopsPerRepetition) == 0) {
        after(milliseconds(randomBelow(repeatedStopMs)), [this, name, pid = m_mesh.processes().pid(name)] {
            if (m_mesh.processes().pid(name) == pid) {
                logSoakEvent("terminate " + name + " again");
                m_mesh.processes().terminate(name);
            }
        });
    }
}

void PlannedWork::checkExits()
{
    for (auto &[node, stop] : m_stops) {
        if (!stop.exit.valid() || stop.exit.wait_for(0s) != std::future_status::ready) {
            continue;
        }
        checkExit(node, stop.requested, stop.exit.get());
        after(milliseconds(randomBelow(restartDelayMs)), [this, restarted = node] { restart(restarted); });
    }
}

void PlannedWork::checkExit(int node, TimePoint requested, TimePoint exited)
{
    const auto name = Mesh::nodeName(node);
    m_disruptions.exited(node, exited);
    const auto bound = m_settings[node].drainBound;
    const auto taken = std::chrono::duration_cast<milliseconds>(exited - requested);
    const auto status = m_mesh.processes().waitForExit(name, 1s);
    logSoakEvent(name + " exited after " + std::to_string(taken.count()) + " ms");
    if (status != 0 || taken > bound + exitMargin) {
        addError(name + " exited with status " + std::to_string(status.value_or(-1)) + ' '
                 + std::to_string(taken.count()) + " ms after SIGTERM, its drain bound is "
                 + std::to_string(bound.count()) + " ms");
    }
}

void PlannedWork::restart(int node)
{
    m_settings[node] = randomSettings();
    m_mesh.setNodeSettings(m_settings[node].toPatch());
    restartNode(node);
    logSoakEvent("restarted " + Mesh::nodeName(node));
    m_stops.erase(node);
}

PlannedWork::NodeSettings PlannedWork::randomSettings()
{
    return {.stopNotice = milliseconds(minStopNoticeMs + randomBelow(maxStopNoticeMs - minStopNoticeMs)),
            .drainBound = milliseconds(minDrainBoundMs + randomBelow(maxDrainBoundMs - minDrainBoundMs)),
            .linkMegabits = minLinkMegabits + randomBelow(maxLinkMegabits - minLinkMegabits)};
}

nlohmann::json PlannedWork::NodeSettings::toPatch() const
{
    return {{"traffic",
             {{"stopNoticeMs", stopNotice.count()},
              {"drainBoundMs", drainBound.count()},
              {"linkMegabitsPerSecond", linkMegabits}}}};
}

} // namespace Hornbeam
