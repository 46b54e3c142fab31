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
    std::string zone; ///< Availability zone of this node, whose targets are preferred.
    Duration slowStart = std::chrono::seconds(10); ///< Time until a new target gets its full share of requests.
    std::uint64_t seed = 0; ///< Seed of the random choices; 0 takes one from the operating system.
};

/** Which targets a request may use. */
struct TargetQuery
{
    std::span<const Label> requiredLabels; ///< Sorted.
    std::span<const Endpoint> excluded; ///< Targets that already failed the request.
};

/**
 * Power-of-two-choices load balancing: of two random targets, selects the one with fewer outstanding requests per slot.
 * Only the outstanding requests of this node count, because load reports of targets lag behind. Not thread-safe.
 */
class TargetSelector
{
public:
    enum class Outcome {
        Selected,
        Busy, ///< No suitable target that is not ejected has a free slot.
        NoTarget, ///< No target is suitable.
    };

    struct Selection
    {
        Outcome outcome = Outcome::NoTarget;
        TargetLoadPtr target;
    };

    explicit TargetSelector(TargetSelectorOptions options);

    /** Selects a target with a free slot: in the local zone if there is one, else in another zone. */
    Selection select(std::span<const TargetLoadPtr> targets, const TargetQuery &query, TimePoint now);

    /** Whether any target, with or without a free slot, suits the request. */
    static bool hasSuitable(std::span<const TargetLoadPtr> targets, const TargetQuery &query);

private:
    static bool isSuitable(const TargetLoad &load, const TargetQuery &query);
    void collect(std::span<const TargetLoadPtr> targets, const TargetQuery &query, TimePoint now, bool localZone);
    double slowStartShare(const TargetLoad &load, TimePoint now) const;
    TargetLoadPtr chooseOfTwo(TimePoint now);
    void dropColdCandidates(TimePoint now);

    TargetSelectorOptions m_options;
    std::mt19937_64 m_random;
    std::vector<TargetLoadPtr> m_candidates; ///< A member so that its memory is reused.
};

} // namespace Hornbeam
