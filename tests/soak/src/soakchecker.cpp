#include "soakchecker.h"

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr int firstServerErrorStatus = 500;

/** A violation tends to recur with every request; the first cases are enough to find the cause. */
constexpr std::size_t maxViolations = 20;

} // namespace

void SoakChecker::recordRead(int node, const Result<HttpResponse> &response)
{
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    if (!response || response->status >= firstServerErrorStatus) {
        return;
    }
    m_servedReads += response->status == 200 ? 1 : 0;
    const auto version = versionOf(*response);
    auto &highest = m_versions[node];
    if (version < highest) {
        addViolationLocked("node " + std::to_string(node) + " served version " + std::to_string(version) + " after "
                           + std::to_string(highest));
    }
    highest = std::max(highest, version);
}

void SoakChecker::recordBooking(const std::string &key, const Result<HttpResponse> &response)
{
    const std::lock_guard lock(m_mutex);
    auto &booking = m_bookings[key];
    const bool refused = response && response->header("x-hornbeam-outcome") == "not-run";
    booking.onlyRefused = booking.onlyRefused && refused;
    booking.served = booking.served || (response && response->status == 200);
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

void SoakChecker::checkBookings(const Mesh &mesh, int targets, bool complete)
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
    for (const auto &[key, booking] : m_bookings) {
        const auto it = executions.find(key);
        const auto n = it == executions.end() ? 0 : it->second;
        if (n > 1) {
            addViolationLocked("booking " + key + " was executed " + std::to_string(n) + " times");
        }
        if (booking.onlyRefused && n > 0) {
            addViolationLocked("booking " + key + " was executed, but every response to it said not-run");
        }
        if (booking.served && n == 0 && complete) {
            addViolationLocked("booking " + key + " was answered with status 200, but no target executed it");
        }
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
    const auto served =
        std::count_if(m_bookings.begin(), m_bookings.end(), [](const auto &it) { return it.second.served; });
    return std::to_string(m_reads) + " reads, " + std::to_string(m_servedReads) + " served; "
        + std::to_string(m_bookings.size()) + " bookings, " + std::to_string(served) + " served; version "
        + std::to_string(m_confirmedVersion);
}

void SoakChecker::addViolationLocked(const std::string &text)
{
    if (m_violations.size() < maxViolations) {
        m_violations.push_back(text);
    }
}

} // namespace Hornbeam
