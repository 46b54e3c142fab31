#include "slotrequest.h"

#include "loadbalancer.h"

namespace Hornbeam {

SlotRequest::SlotRequest(LoadBalancer &balancer, SlotRequestOptions options)
    : QueuedRequest(options.priority, options.deadline)
    , m_balancer(balancer)
    , m_options(std::move(options))
{
}

bool SlotRequest::tryStart()
{
    const TargetQuery query{.requiredLabels = m_options.requiredLabels, .excluded = m_options.excluded};
    auto selection = m_balancer.select(m_options.service, query, std::chrono::steady_clock::now());
    if (selection.verdict != TargetSelector::Verdict::Selected) {
        return false;
    }
    m_target = std::move(selection.target);
    ++m_target->outstanding;
    m_result = SlotResult::Granted;
    if (m_queued && m_options.wake) {
        m_options.wake();
    }
    return true;
}

void SlotRequest::rejected()
{
    m_result = SlotResult::Expired;
    if (m_options.wake) {
        m_options.wake();
    }
}

} // namespace Hornbeam
