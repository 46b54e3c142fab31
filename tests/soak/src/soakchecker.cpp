#include "soakchecker.h"

#include "soaklog.h"

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr int firstServerErrorStatus = 500;

/** A violation tends to recur with every request; the first cases are enough to find the cause. */
constexpr std::size_t maxViolations = 20;

} // namespace

void SoakChecker::recordRead(const std::string &caller, const std::string &id, const Result<HttpResponse> &response)
{
    const std::lock_guard lock(m_mutex);
    recordLocked("reads", id, response);
    if (!response || response->status >= firstServerErrorStatus) {
        return;
    }
    const auto version = versionOf(*response);
    auto &highest = m_versions[caller];
    if (version < highest) {
        addViolationLocked(caller + " received version " + std::to_string(version) + " after "
                           + std::to_string(highest));
    }
    highest = std::max(highest, version);
}

void SoakChecker::recordBooking(const std::string &key, const Result<HttpResponse> &response)
{
    const std::lock_guard lock(m_mutex);
    if (auto *request = recordLocked("bookings", key, response)) {
        request->mayRepeat = false;
    }
}

void SoakChecker::recordDownload(const std::string &id, const Result<HttpResponse> &response)
{
    const std::lock_guard lock(m_mutex);
    recordLocked("downloads", id, response);
}

void SoakChecker::recordUnread(const std::string &id, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_requests[id].unread = text;
}

void SoakChecker::recordConfirmed(std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    m_confirmedVersion = std::max(m_confirmedVersion, version);
}

std::uint64_t SoakChecker::confirmedVersion() const
{
    const std::lock_guard lock(m_mutex);
    return m_confirmedVersion;
}

void SoakChecker::addViolation(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    addViolationLocked(text);
}

void SoakChecker::checkExecutions(const Mesh &mesh, int targets, bool complete)
{
    std::map<std::string, std::uint64_t> executions;
    for (int target = 0; target < targets; ++target) {
        const auto stats = mesh.targetStats(target);
        if (!stats.is_object()) {
            addViolation("target " + std::to_string(target) + " did not return its execution counts");
            return;
        }
        for (const auto &[key, n] : stats["executions"].items()) {
            executions[key] += n.get<std::uint64_t>();
        }
    }
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, request] : m_requests) {
        const auto it = executions.find(id);
        checkLocked(id, request, it == executions.end() ? 0 : it->second, complete);
    }
}

std::vector<std::string> SoakChecker::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::string SoakChecker::summary() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto &[kind, count] : m_counts) {
        text += std::to_string(count.sent) + ' ' + kind + ", " + std::to_string(count.answered) + " answered, "
            + std::to_string(count.served) + " served, " + std::to_string(count.unreachable) + " not connected; ";
    }
    const auto unread =
        std::count_if(m_requests.begin(), m_requests.end(), [](const auto &it) { return !it.second.unread.empty(); });
    return text + std::to_string(unread) + " not read before a stop; version " + std::to_string(m_confirmedVersion);
}

SoakChecker::Request *SoakChecker::recordLocked(const std::string &kind,
                                                const std::string &id,
                                                const Result<HttpResponse> &response)
{
    const bool served = response && response->status == 200;
    const bool refused = response && response->header("x-hornbeam-outcome") == "not-run";
    auto &count = m_counts[kind];
    if (!response && response.error().code() == ErrorCode::Unavailable) {
        ++count.unreachable;
        return nullptr;
    }
    ++count.sent;
    count.answered += response ? 1 : 0;
    count.served += served ? 1 : 0;
    auto &request = m_requests[id];
    request.onlyRefused = request.onlyRefused && refused;
    request.served = request.served || served;
    return &request;
}

void SoakChecker::checkLocked(const std::string &id, const Request &request, std::uint64_t executions, bool complete)
{
    if (executions > 1 && !request.mayRepeat) {
        addViolationLocked("booking " + id + " was executed " + std::to_string(executions) + " times");
    }
    if (executions > 0 && request.onlyRefused) {
        addViolationLocked("request " + id + " was executed, but every response to it said not-run");
    }
    if (executions > 0 && !request.unread.empty()) {
        addViolationLocked("request " + id + " was executed, but has no response: " + request.unread);
    }
    if (executions == 0 && request.served && complete) {
        addViolationLocked("request " + id + " was answered with status 200, but no target executed it");
    }
}

void SoakChecker::addViolationLocked(const std::string &text)
{
    logSoakEvent("violation: " + text);
    if (m_violations.size() < maxViolations) {
        m_violations.push_back(text);
    }
}

} // namespace Hornbeam
