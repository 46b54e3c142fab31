#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/target.h>

#include <cstdint>
#include <memory>

namespace Hornbeam {

/** What this node knows of one start of a target from its own calls. Guarded by the load balancer's mutex. */
struct TargetLoad
{
    Target target;
    std::uint32_t slots = 1;
    std::uint32_t outstanding = 0; ///< Requests of this node that it runs now.
    TimePoint firstSeen; ///< Start of the slow start; TimePoint::min() for none.
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0; ///< Grows the ejection time; a success after an ejection resets it.
    TimePoint ejectedUntil = TimePoint::min();

    bool isEjected(TimePoint now) const
    {
        return now < ejectedUntil;
    }

    bool hasFreeSlot() const
    {
        return outstanding < slots;
    }
};

using TargetLoadPtr = std::shared_ptr<TargetLoad>;

} // namespace Hornbeam
