#include "runningrequests.h"

namespace Hornbeam {

namespace {

/** Runs after which the history of a route is halved, so that it follows a change within about as many requests. */
constexpr double longHistory = 200;

/** Runs without which nothing is known of a route. */
constexpr double shortHistory = 10;

/** A service that is called less often than this, on average, is no dependency. */
constexpr double fewestCallsPerRun = 0.1;

/** Bound of the memory; the history of all routes starts anew when there were more. */
constexpr std::size_t maxRoutes = 10000;

/** The identifier of the request that makes the call; empty when the call has none. */
std::string parentId(std::string_view id)
{
    const auto dot = id.rfind('.');
    return dot == std::string_view::npos ? std::string() : std::string(id.substr(0, dot));
}

} // namespace

void RunningRequests::add(const std::string &id, const std::string &route, bool repeated)
{
    const std::lock_guard lock(m_mutex);
    m_running.emplace(id, Running{.route = route, .calls = {}, .repeated = repeated});
}

bool RunningRequests::remove(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_running.find(id);
    if (it == m_running.end()) {
        return false;
    }
    learn(it->second);
    const bool failed = it->second.callFailed;
    m_running.erase(it);
    return failed;
}

bool RunningRequests::isCall(std::string_view id) const
{
    const auto parent = parentId(id);
    const std::lock_guard lock(m_mutex);
    return !parent.empty() && m_running.contains(parent);
}

bool RunningRequests::callStarted(std::string_view id, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    auto *parent = parentOf(id);
    if (parent == nullptr) {
        return false;
    }
    ++parent->calls[service];
    return parent->repeated;
}

void RunningRequests::callFailed(std::string_view id)
{
    const std::lock_guard lock(m_mutex);
    if (auto *parent = parentOf(id)) {
        parent->callFailed = true;
    }
}

std::vector<ServiceDependency> RunningRequests::dependenciesOf(const std::string &route) const
{
    std::vector<ServiceDependency> dependencies;
    const std::lock_guard lock(m_mutex);
    const auto it = m_history.find(route);
    if (it == m_history.end() || it->second.runs < shortHistory) {
        return dependencies;
    }
    for (const auto &[service, calls] : it->second.calls) {
        const auto perRun = calls / it->second.runs;
        if (perRun >= fewestCallsPerRun) {
            dependencies.push_back({.service = service, .callsPerRun = perRun});
        }
    }
    return dependencies;
}

RunningRequests::Running *RunningRequests::parentOf(std::string_view id)
{
    const auto it = m_running.find(parentId(id));
    return it == m_running.end() ? nullptr : &it->second;
}

void RunningRequests::learn(const Running &ended)
{
    if (m_history.size() >= maxRoutes) {
        m_history.clear();
    }
    auto &history = m_history[ended.route];
    history.runs += 1;
    for (const auto &[service, calls] : ended.calls) {
        history.calls[service] += calls;
    }
    if (history.runs >= longHistory) {
        history.runs /= 2;
        for (auto &[service, calls] : history.calls) {
            calls /= 2;
        }
    }
}

} // namespace Hornbeam
