#include "crashsuspects.h"

namespace Hornbeam {

namespace {

/** Bound of the memory; beyond it, only the retry of a further suspect is not prevented. */
constexpr std::size_t maxSuspects = 10000;

} // namespace

CrashSuspects::CrashSuspects(Duration window)
    : m_window(window)
{
}

void CrashSuspects::add(const Digest &request, const Endpoint &target, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    forgetExpired(now);
    if (m_crashes.size() < maxSuspects) {
        auto &crashes = m_crashes[request];
        crashes.targets.insert(target);
        crashes.last = now;
    }
    m_any = !m_crashes.empty();
}

bool CrashSuspects::remove(const Digest &request)
{
    const std::lock_guard lock(m_mutex);
    const bool removed = m_crashes.erase(request) != 0;
    m_any = !m_crashes.empty();
    return removed;
}

bool CrashSuspects::contains(const Digest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    forgetExpired(now);
    return m_crashes.contains(request);
}

bool CrashSuspects::isCulprit(const Digest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    forgetExpired(now);
    const auto it = m_crashes.find(request);
    return it != m_crashes.end() && it->second.targets.size() >= 2;
}

void CrashSuspects::forgetExpired(TimePoint now)
{
    std::erase_if(m_crashes, [&](const auto &it) { return it.second.last + m_window <= now; });
    m_any = !m_crashes.empty();
}

} // namespace Hornbeam
