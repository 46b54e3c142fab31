#pragma once

#include "relayheader.h"

#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/target.h>

#include <cstdint>
#include <memory>

namespace Hornbeam {

/** What this node knows of one start of a target. Guarded by the load balancer's mutex. */
struct TargetLoad
{
    Target target;
    std::uint32_t slots = 1;
    std::uint32_t outstanding = 0; ///< Requests that this node has sent and that are not answered.
    TimePoint firstSeen; ///< Start of the slow start; TimePoint::min() for none.
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0; ///< Grows the ejection time; a success after an ejection resets it.
    TimePoint ejectedUntil = TimePoint::min();
    bool own = false; ///< On this host: all of its requests pass through this node.
    bool withdrawn = false; ///< No longer announced; nothing new starts on it.
    Duration serviceTime = Duration::zero(); ///< Moving mean of a request's time at the target; 0 for unknown.
    Duration largeWait = Duration::zero(); ///< That a large response would have at the link of the target's host.
    double failureRate = 0; ///< Moving share of requests that failed at the target, 0..1.
    LoadReport report; ///< Last report of the target's own node.
    TimePoint reportedAt = TimePoint::min();
    std::uint32_t outstandingAtReport = 0; ///< This node's part of what the report counts.
    TimePoint lastUsed = TimePoint::min();

    bool isEjected(TimePoint now) const
    {
        return now < ejectedUntil;
    }

    bool hasFreeSlot() const
    {
        return outstanding < slots && !withdrawn;
    }

    /** Other nodes reach it only through its own node, which admits its requests. */
    bool isRemote() const
    {
        return target.isBehindGateway() && !own;
    }
};

using TargetLoadPtr = std::shared_ptr<TargetLoad>;

} // namespace Hornbeam
