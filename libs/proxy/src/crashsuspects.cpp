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

void CrashSuspects::add(const Digest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    forgetExpired(now);
    if (m_crashes.size() < maxSuspects) {
        m_crashes[request] = now;
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

void CrashSuspects::forgetExpired(TimePoint now)
{
    std::erase_if(m_crashes, [&](const auto &it) { return it.second + m_window <= now; });
    m_any = !m_crashes.empty();
}

} // namespace Hornbeam
