#include "crashsuspects.h"

namespace Hornbeam {

namespace {

/** Limits the memory use. Further suspects are not recorded, so their retries are not prevented. */
constexpr std::size_t maxSuspects = 10000;

} // namespace

CrashSuspects::CrashSuspects(Duration window)
    : m_window(window)
{
}

void CrashSuspects::add(const Digest &request, const Endpoint &target, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    if (m_crashes.size() < maxSuspects) {
        auto &crashes = m_crashes[request];
        crashes.targets.insert(target);
        crashes.last = now;
    }
    updateAny();
}

void CrashSuspects::setReported(const std::vector<SuspectRequest> &suspects)
{
    const std::lock_guard lock(m_mutex);
    m_reported.clear();
    for (const auto &it : suspects) {
        m_reported.emplace(it.request, it.targets);
    }
    updateAny();
}

bool CrashSuspects::remove(const Digest &request)
{
    const std::lock_guard lock(m_mutex);
    const bool seen = m_crashes.erase(request) != 0;
    const bool reported = m_reported.erase(request) != 0;
    updateAny();
    return seen || reported;
}

std::vector<Endpoint> CrashSuspects::crashedTargets(const Digest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    std::set<Endpoint> targets;
    if (const auto seen = m_crashes.find(request); seen != m_crashes.end()) {
        targets = seen->second.targets;
    }
    if (const auto reported = m_reported.find(request); reported != m_reported.end()) {
        targets.insert(reported->second.begin(), reported->second.end());
    }
    return {targets.begin(), targets.end()};
}

bool CrashSuspects::contains(const Digest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    return m_crashes.contains(request);
}

bool CrashSuspects::hasCrashedTwoTargets(const Digest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    const auto it = m_crashes.find(request);
    return it != m_crashes.end() && it->second.targets.size() >= 2;
}

void CrashSuspects::removeExpired(TimePoint now)
{
    std::erase_if(m_crashes, [&](const auto &it) { return it.second.last + m_window <= now; });
    updateAny();
}

void CrashSuspects::updateAny()
{
    m_any = !m_crashes.empty() || !m_reported.empty();
}

} // namespace Hornbeam
