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
    QueueFull,
    TooLate, ///< The estimated wait exceeds the deadline.
    Expired, ///< The deadline passed, or a more important request took the place in the queue.
};

struct SlotRequestOptions
{
    std::string service;
    std::vector<Label> requiredLabels;
    std::vector<Endpoint> excluded;
    Priority priority = Priority::Normal;
    TimePoint deadline;
    std::function<void()> wake; ///< Called once from any thread when a queued request is decided; must not block.
};

/** A call's request for a slot of any suitable target of its service. Its result is guarded by the load balancer. */
class SlotRequest : public QueuedRequest
{
public:
    SlotRequest(LoadBalancer &balancer, SlotRequestOptions options);

    bool tryStart() override;
    void rejected() override;

    const SlotRequestOptions &options() const
    {
        return m_options;
    }

    /** The granted target; read it after LoadBalancer::finish() returned Granted. */
    const TargetLoadPtr &target() const
    {
        return m_target;
    }

private:
    friend class LoadBalancer;

    LoadBalancer &m_balancer;
    SlotRequestOptions m_options;
    SlotResult m_result = SlotResult::Waiting;
    TargetLoadPtr m_target;
    bool m_queued = false;
};

using SlotRequestPtr = std::shared_ptr<SlotRequest>;

} // namespace Hornbeam
