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

/** What became of a request for a slot. */
enum class SlotResult {
    Waiting,
    Granted,
    NoTarget, ///< No live target suits the request.
    NoRoom, ///< Every target would let the request wait too long.
    QueueFull,
    TooLate, ///< The estimated wait exceeds the deadline.
    Expired, ///< The deadline passed, or a more important request took the place in the queue.
};

struct SlotRequestOptions
{
    std::string service;
    std::vector<Label> requiredLabels;
    std::vector<Endpoint> excluded;
    AdmissionRank rank = Priority::Normal;
    TimePoint deadline;
    TimePoint latestStart = TimePoint::max(); ///< When the request gives up waiting for a slot.
    std::string ownTarget{}; ///< Only the target of this name on this host; empty for any target.
    bool bulk = false; ///< The response is large.
    std::function<void()> wake; ///< Called once from any thread when a queued request is decided; must not block.
};

/** A call's request for a slot of any suitable target of its service. Its result is guarded by the load balancer. */
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

    /** Expected wait at the granted target, or the shortest one when the request was refused. */
    Duration expectedWait() const
    {
        return m_expectedWait;
    }

    /** The granted target; read it after LoadBalancer::finish() returned Granted. */
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
    TargetLoadPtr m_pinned; ///< The only target that the request waits for, if any.
    Duration m_expectedWait = Duration::zero();
    bool m_queued = false;
};

using SlotRequestPtr = std::shared_ptr<SlotRequest>;

} // namespace Hornbeam
