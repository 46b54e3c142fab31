#include <hornbeam/rollouts/versioninuse.h>

#include <algorithm>

namespace Hornbeam {

void VersionInUse::setRecorded(const std::string &version)
{
    m_recorded = version;
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
    if (!m_settled || !runs(m_chosen) || (others && m_chosen == m_ordered)) {
        if (auto chosen = oldest(); !chosen.empty() || !m_settled) {
            m_chosen = std::move(chosen);
        }
    }
}

std::optional<TimePoint> VersionInUse::nextUpdate() const
{
    if (m_settled || !m_firstSeen) {
        return std::nullopt;
    }
    return *m_firstSeen + settlingTime;
}

const std::string &VersionInUse::version() const
{
    return runs(m_recorded) ? m_recorded : m_chosen;
}

bool VersionInUse::isConfirmed() const
{
    return !m_recorded.empty() || (m_settled && !m_chosen.empty());
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
