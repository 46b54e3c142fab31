#include "runningrequests.h"

#include <algorithm>

namespace Hornbeam {

namespace {

/** Number of runs at which the history of a route is halved, so that it follows a change within about as many runs. */
constexpr double maxHistoryRuns = 200;

/** Fewest runs from which dependencies are derived. */
constexpr double minHistoryRuns = 10;

/** A service with fewer calls per run on average is not a dependency. */
constexpr double minCallsPerRun = 0.1;

/** Limits the memory use. When there are more routes, the history of all routes is cleared. */
constexpr std::size_t maxRoutes = 10000;

/** Fewest remembered requests among which expired ones are searched. */
constexpr std::size_t minPurgeSize = 64;

/** The id of the request that makes the nested call @p id; empty if @p id has not the form of a nested call. */
std::string parentId(std::string_view id)
{
    const auto dot = id.rfind('.');
    return dot == std::string_view::npos ? std::string() : std::string(id.substr(0, dot));
}

} // namespace

void RunningRequests::add(const std::string &id, RunningRequest request)
{
    const std::lock_guard lock(m_mutex);
    m_running.emplace(id, Running{.request = std::move(request), .calls = {}});
}

bool RunningRequests::remove(const std::string &id, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_running.find(id);
    if (it == m_running.end()) {
        return false;
    }
    updateHistory(it->second);
    if (it->second.request.account) {
        remember(id, it->second.request.deadline, now);
    }
    const bool failed = it->second.callFailed;
    m_running.erase(it);
    return failed;
}

bool RunningRequests::isNestedCall(std::string_view id) const
{
    const auto parent = parentId(id);
    const std::lock_guard lock(m_mutex);
    return !parent.empty() && m_running.contains(parent);
}

CallerOfCall RunningRequests::callerOf(std::string_view id, TimePoint now) const
{
    const auto parent = parentId(id);
    if (parent.empty()) {
        return {};
    }
    const std::lock_guard lock(m_mutex);
    const auto it = m_running.find(parent);
    if (it != m_running.end()) {
        return {.parent = CallParent::Running, .account = it->second.request.account};
    }
    const auto ended = m_ended.find(parent);
    const bool mayRun = ended != m_ended.end() && now < ended->second;
    return {.parent = mayRun ? CallParent::Ended : CallParent::Unknown};
}

bool RunningRequests::callStarted(std::string_view id, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    auto *parent = parentOf(id);
    if (parent == nullptr) {
        return false;
    }
    ++parent->calls[service];
    return parent->request.repeated;
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
    if (it == m_history.end() || it->second.runs < minHistoryRuns) {
        return dependencies;
    }
    for (const auto &[service, calls] : it->second.calls) {
        const auto perRun = calls / it->second.runs;
        if (perRun >= minCallsPerRun) {
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

void RunningRequests::remember(const std::string &id, TimePoint deadline, TimePoint now)
{
    if (m_ended.size() >= m_purgeSize) {
        std::erase_if(m_ended, [now](const auto &entry) { return entry.second <= now; });
        m_purgeSize = std::max(minPurgeSize, 2 * m_ended.size());
    }
    auto &end = m_ended[id];
    end = std::max(end, deadline);
}

void RunningRequests::updateHistory(const Running &ended)
{
    if (m_history.size() >= maxRoutes) {
        m_history.clear();
    }
    auto &history = m_history[ended.request.route];
    history.runs += 1;
    for (const auto &[service, calls] : ended.calls) {
        history.calls[service] += calls;
    }
    if (history.runs >= maxHistoryRuns) {
        history.runs /= 2;
        for (auto &[service, calls] : history.calls) {
            calls /= 2;
        }
    }
}

} // namespace Hornbeam
