#include "fakeclaims.h"

namespace Hornbeam {

void FakeClaims::claim(const Digest &identity, TimePoint /*deadline*/, std::function<void(ClaimDecision)> callback)
{
    if (beforeDecision) {
        beforeDecision();
    }
    {
        const std::lock_guard lock(m_mutex);
        m_claimed.push_back(identity);
        if (hold) {
            m_pending.push_back(std::move(callback));
            return;
        }
    }
    callback(decision);
}

void FakeClaims::decidePending()
{
    std::vector<std::function<void(ClaimDecision)>> pending;
    {
        const std::lock_guard lock(m_mutex);
        pending.swap(m_pending);
    }
    for (const auto &callback : pending) {
        callback(decision);
    }
}

void FakeClaims::complete(const ClaimTicket & /*ticket*/, RecordedResponse response)
{
    const std::lock_guard lock(m_mutex);
    m_completed.push_back(std::move(response));
}

void FakeClaims::release(const ClaimTicket & /*ticket*/)
{
    const std::lock_guard lock(m_mutex);
    ++m_released;
}

void FakeClaims::markUnknown(const ClaimTicket & /*ticket*/)
{
    const std::lock_guard lock(m_mutex);
    ++m_unknown;
}

std::vector<Digest> FakeClaims::claimed() const
{
    const std::lock_guard lock(m_mutex);
    return m_claimed;
}

std::vector<RecordedResponse> FakeClaims::completed() const
{
    const std::lock_guard lock(m_mutex);
    return m_completed;
}

int FakeClaims::released() const
{
    const std::lock_guard lock(m_mutex);
    return m_released;
}

int FakeClaims::unknown() const
{
    const std::lock_guard lock(m_mutex);
    return m_unknown;
}

} // namespace Hornbeam
