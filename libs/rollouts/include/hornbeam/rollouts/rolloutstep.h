#pragma once

#include <hornbeam/base/error.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Hornbeam {

enum class RolloutPhase {
    Canary, ///< A share of the requests goes to the new version.
    Switch, ///< All requests go to the new version, so that those at the old one end before its targets stop.
    Withdrawing, ///< The new version gets nothing; the roll-back is not recorded in the store yet.
    Completed, ///< The new version is the stable one.
    RolledBack, ///< The new version gets nothing any more.
};

/** Name of the phase in the state dump and in the store, for example "rolled-back". */
const char *rolloutPhaseName(RolloutPhase phase);

/**
 * What the decider of a roll-out has decided last. Steps of one service are totally ordered: first by the revision of
 * the order, then by the fence, which each new decider raises, and then by their number.
 */
struct RolloutStep
{
    std::string service;
    std::int64_t order = 0; ///< RolloutOrder::revision.
    std::uint64_t fence = 0;
    std::uint64_t number = 0;
    RolloutPhase phase = RolloutPhase::Canary;
    std::uint32_t sharePerMille = 0; ///< Of the requests that go to the new version; 1000 in the Switch phase.
    std::string stableVersion; ///< Version before the roll-out.
    std::string version; ///< Version to which the roll-out moves the traffic.
    std::chrono::milliseconds elapsed{0}; ///< Since the order, when the step was decided.
    std::chrono::milliseconds timerEnd{0}; ///< Since the order, when the lease of the timer ends; 0 without a timer.
    std::string reason; ///< For operators.

    /** Whether this step is newer than @p other. A final step is in the store, so no other step replaces it. */
    bool supersedes(const RolloutStep &other) const;

    bool isFinal() const
    {
        return phase == RolloutPhase::Completed || phase == RolloutPhase::RolledBack;
    }

    /** The version that serves requests after this step if the roll-out goes no further. */
    const std::string &servingVersion() const
    {
        return phase == RolloutPhase::Completed ? version : stableVersion;
    }

    std::string encode() const;

    /** InvalidArgument for malformed text or values out of range. */
    static Result<RolloutStep> decode(std::string_view text);

    friend auto operator<=>(const RolloutStep &, const RolloutStep &) = default;
};

} // namespace Hornbeam
