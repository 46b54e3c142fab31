#include <hornbeam/proxy/crashquarantine.h>

#include <algorithm>

namespace Hornbeam {

CrashQuarantine::CrashQuarantine(CrashQuarantineOptions options)
    : m_options(options)
{
}

bool CrashQuarantine::report(const Digest &request, const Endpoint &target, TimePoint now)
{
    removeExpired(now);
    if (m_releases.contains(request)) {
        return true;
    }
    const auto suspect = m_suspects.find(request);
    if (suspect == m_suspects.end()) {
        if (m_suspects.size() < m_options.maxSuspects) {
            m_suspects.emplace(request, Crash{.target = target, .at = now});
        }
        return false;
    }
    if (suspect->second.target == target) {
        // Repeated crashes of one target can be a fault of the target rather than of the request.
        suspect->second.at = now;
        return false;
    }
    m_suspects.erase(suspect);
    m_releases[request] = now + m_options.quarantine;
    return true;
}

void CrashQuarantine::succeeded(const Digest &request)
{
    m_suspects.erase(request);
}

void CrashQuarantine::quarantineUntil(const Digest &request, TimePoint releaseAt)
{
    auto &release = m_releases.try_emplace(request, releaseAt).first->second;
    release = std::max(release, releaseAt);
}

std::vector<Digest> CrashQuarantine::quarantined(TimePoint now)
{
    removeExpired(now);
    std::vector<Digest> digests;
    digests.reserve(m_releases.size());
    for (const auto &[digest, release] : m_releases) {
        digests.push_back(digest);
    }
    return digests;
}

void CrashQuarantine::removeExpired(TimePoint now)
{
    std::erase_if(m_suspects, [&](const auto &it) { return it.second.at + m_options.window <= now; });
    std::erase_if(m_releases, [&](const auto &it) { return it.second <= now; });
}

} // namespace Hornbeam
