#pragma once

#include "targetload.h"

#include <span>

namespace Hornbeam {

struct OutlierDetectorOptions
{
    std::uint32_t failures = 5; ///< Consecutive failures that eject a target.
    Duration firstEjection = std::chrono::seconds(2);
    Duration longestEjection = std::chrono::seconds(60); ///< Bound of the growing ejection time.
};

/**
 * Ejects targets that fail several of this node's requests in a row, for a time that doubles with each ejection.
 * Never ejects more than half of a service's targets: when more fail, the cause is not a single target.
 */
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierDetectorOptions options);

    void succeeded(TargetLoad &load, TimePoint now) const;

    /** Counts a failure; @p service holds all targets of the service. Returns whether the target was ejected. */
    bool failed(TargetLoad &load, std::span<const TargetLoadPtr> service, TimePoint now) const;

private:
    OutlierDetectorOptions m_options;
};

} // namespace Hornbeam
