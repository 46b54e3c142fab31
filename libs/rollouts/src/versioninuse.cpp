#include <hornbeam/rollouts/versioninuse.h>

#include <algorithm>

namespace Hornbeam {

void VersionInUse::setRecorded(const std::string &version, TimePoint now)
{
    m_recorded = version;
    update(now);
}

void VersionInUse::setOrdered(const std::string &version, TimePoint now)
{
    m_ordered = version;
    update(now);
}

void VersionInUse::setRunning(std::vector<RunningVersion> versions, TimePoint now)
{
    m_versions = std::move(versions);
    if (!m_firstSeen && !m_versions.empty()) {
        m_firstSeen = now;
    }
    update(now);
}

void VersionInUse::update(TimePoint now)
{
    m_settled = m_settled || (m_firstSeen && now >= *m_firstSeen + settlingTime);
    const bool others =
        std::any_of(m_versions.begin(), m_versions.end(), [this](const auto &it) { return it.version != m_ordered; });
    if (!m_settled || m_chosen.empty() || (others && m_chosen == m_ordered)) {
        m_chosen = oldest();
    }
    m_version = m_recorded.empty() ? m_chosen : m_recorded;
    if (!isAbsent(m_version)) {
        m_absentSince.reset();
        return;
    }
    m_absentSince = m_absentSince.value_or(now);
    if (const auto other = oldest(); now >= *m_absentSince + absenceLimit && !other.empty()) {
        m_version = other;
        m_chosen = other;
    }
}

std::optional<TimePoint> VersionInUse::nextUpdate() const
{
    std::optional<TimePoint> next;
    if (!m_settled && m_firstSeen) {
        next = *m_firstSeen + settlingTime;
    }
    if (m_absentSince && isAbsent(m_version)) {
        const auto limit = *m_absentSince + absenceLimit;
        next = next ? std::min(*next, limit) : limit;
    }
    return next;
}

bool VersionInUse::isConfirmed() const
{
    return !m_recorded.empty() || (m_settled && !m_chosen.empty());
}

bool VersionInUse::isAbsent(const std::string &version) const
{
    return !version.empty() && !m_versions.empty() && !runs(version);
}

bool VersionInUse::runs(const std::string &version) const
{
    return std::any_of(m_versions.begin(), m_versions.end(), [&](const auto &it) { return it.version == version; });
}

bool VersionInUse::serves(const std::string &version) const
{
    return std::any_of(
        m_versions.begin(), m_versions.end(), [&](const auto &it) { return it.version == version && it.serving; });
}

std::string VersionInUse::oldest() const
{
    const RunningVersion *found = nullptr;
    for (const auto &it : m_versions) {
        if (it.version != m_ordered && (found == nullptr || it.firstInstance < found->firstInstance)) {
            found = &it;
        }
    }
    if (found != nullptr) {
        return found->version;
    }
    // The targets of the version before the order may only not be known yet.
    return m_settled && runs(m_ordered) ? m_ordered : std::string();
}

} // namespace Hornbeam
