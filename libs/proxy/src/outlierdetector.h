#pragma once

#include "targetload.h"

#include <span>

namespace Hornbeam {

struct OutlierDetectorOptions
{
    std::uint32_t failureThreshold = 5; ///< Consecutive failures that eject a target.
    Duration baseEjectionTime = std::chrono::seconds(2); ///< Of the first ejection.
    Duration maxEjectionTime = std::chrono::seconds(60);
};

/**
 * Ejects targets that fail several consecutive requests of this node, for a time that doubles with each ejection.
 * Never ejects more than half of a service's targets: if more of them fail, the cause is not a single target.
 */
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierDetectorOptions options);

    void recordSuccess(TargetLoad &load, TimePoint now) const;

    /** Counts a failure. @p targets: all targets of the service. Returns whether the target was ejected. */
    bool recordFailure(TargetLoad &load, std::span<const TargetLoadPtr> targets, TimePoint now) const;

private:
    OutlierDetectorOptions m_options;
};

} // namespace Hornbeam
