#pragma once

#include "targetload.h"

#include <hornbeam/config/label.h>

#include <random>
#include <span>
#include <string>
#include <vector>

namespace Hornbeam {

struct TargetSelectorOptions
{
    std::string zone; ///< Targets of this zone come first.
    Duration slowStart = std::chrono::seconds(10); ///< Time over which a new target's share grows.
    std::uint64_t seed = 0; ///< Seed of the random choices; 0 takes one from the operating system.
};

/** Which targets a request may use. */
struct TargetQuery
{
    std::span<const Label> requiredLabels; ///< Sorted.
    std::span<const Endpoint> excluded; ///< Targets that already failed the request.
};

/**
 * Chooses a target by the power of two choices: of two random targets, the one with fewer outstanding requests per
 * slot. Outstanding requests are the node's own, because what targets report lags. Not thread-safe.
 */
class TargetSelector
{
public:
    enum class Verdict {
        Selected,
        Busy, ///< Every suitable target has all its slots in use.
        NoTarget, ///< No target is suitable.
    };

    struct Selection
    {
        Verdict verdict = Verdict::NoTarget;
        TargetLoadPtr target;
    };

    explicit TargetSelector(TargetSelectorOptions options);

    /** Selects one of a service's targets that has a free slot: of the own zone, else of any zone. */
    Selection select(std::span<const TargetLoadPtr> targets, const TargetQuery &query, TimePoint now);

    /** Whether any target, busy or not, may run the request. */
    static bool hasSuitable(std::span<const TargetLoadPtr> targets, const TargetQuery &query);

private:
    static bool isSuitable(const TargetLoad &load, const TargetQuery &query);
    void collect(std::span<const TargetLoadPtr> targets, const TargetQuery &query, TimePoint now, bool ownZone);
    double share(const TargetLoad &load, TimePoint now) const;
    TargetLoadPtr chooseOfTwo(TimePoint now);
    void dropColdCandidates(TimePoint now);

    TargetSelectorOptions m_options;
    std::mt19937_64 m_random;
    std::vector<TargetLoadPtr> m_candidates; ///< Kept between calls to save allocations.
};

} // namespace Hornbeam
