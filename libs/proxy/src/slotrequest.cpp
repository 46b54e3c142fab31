#include "slotrequest.h"

#include "loadbalancer.h"

namespace Hornbeam {

SlotRequest::SlotRequest(LoadBalancer &balancer, SlotRequestOptions options)
    : QueuedRequest(options.rank, options.deadline, options.latestStart)
    , m_balancer(balancer)
    , m_options(std::move(options))
{
}

bool SlotRequest::tryStart()
{
    if (m_pinned) {
        return m_pinned->hasFreeSlot() && grant(m_pinned);
    }
    const TargetQuery query{.requiredLabels = m_options.requiredLabels, .excluded = m_options.excluded};
    auto selection = m_balancer.select(m_options.service, query, std::chrono::steady_clock::now());
    if (selection.outcome != TargetSelector::Outcome::Selected) {
        return false;
    }
    return grant(std::move(selection.target));
}

bool SlotRequest::grant(TargetLoadPtr target)
{
    m_target = std::move(target);
    ++m_target->outstanding;
    m_target->lastUsed = std::chrono::steady_clock::now();
    m_result = SlotResult::Granted;
    if (m_queued && m_options.wake) {
        m_options.wake();
    }
    return true;
}

bool SlotRequest::isObsolete() const
{
    return m_pinned && (m_pinned->withdrawn || m_pinned->isPaused());
}

void SlotRequest::rejected()
{
    m_result = SlotResult::Expired;
    if (m_options.wake) {
        m_options.wake();
    }
}

} // namespace Hornbeam
