#pragma once

#include "admissioncontroller.h"
#include "targetload.h"

#include <hornbeam/config/label.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Hornbeam {

class LoadBalancer;

/** State of a request for a slot. */
enum class SlotResult {
    Waiting,
    Granted,
    NoTarget, ///< No live target is suitable.
    NoRoom, ///< The expected wait at every suitable target exceeds the longest wait.
    QueueFull,
    TooLate, ///< The estimated wait exceeds the deadline or the latest start.
    Expired, ///< Removed from the queue: the wait ended without a slot, or a request of a better rank evicted it.
};

struct SlotRequestOptions
{
    std::string service;
    std::vector<Label> requiredLabels;
    std::vector<Endpoint> excluded;
    AdmissionRank rank = Priority::Normal;
    TimePoint deadline;
    TimePoint latestStart = TimePoint::max(); ///< End of the wait for a slot.
    std::string localTarget{}; ///< Name of the only permitted target, on this host; empty for any target.
    bool bulk = false; ///< The response is large.
    /** Called once, on any thread, when a queued request is granted a slot or rejected. Must not block. */
    std::function<void()> wake;
};

/** A call's request for a slot of a suitable target. Its result is guarded by the load balancer's mutex. */
class SlotRequest : public QueuedRequest
{
public:
    SlotRequest(LoadBalancer &balancer, SlotRequestOptions options);

    bool tryStart() override;
    bool isObsolete() const override;
    void rejected() override;

    const SlotRequestOptions &options() const
    {
        return m_options;
    }

    /** Expected wait at the granted target, or the shortest expected wait if the request was refused. */
    Duration expectedWait() const
    {
        return m_expectedWait;
    }

    /** The granted target; valid after LoadBalancer::finish() has returned Granted. */
    const TargetLoadPtr &target() const
    {
        return m_target;
    }

private:
    friend class LoadBalancer;

    bool grant(TargetLoadPtr target);

    LoadBalancer &m_balancer;
    SlotRequestOptions m_options;
    SlotResult m_result = SlotResult::Waiting;
    TargetLoadPtr m_target;
    TargetLoadPtr m_pinned; ///< The only target whose slots the request may take; null for any.
    Duration m_expectedWait = Duration::zero();
    bool m_queued = false;
};

using SlotRequestPtr = std::shared_ptr<SlotRequest>;

} // namespace Hornbeam
