#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstdint>

namespace Hornbeam {

/** How a target answered a request. */
enum class PaceOutcome {
    Success,
    Refused, ///< The target did not run the request.
    Failed, ///< No valid response, or one that reports a failure of the target.
};

struct TargetPaceOptions
{
    double startShare = 0.25; ///< Concurrent requests at the start of a recovery, per slot; at least one request.
    double startSlowdown = 2; ///< Expected slowdown of a target until it has answered.
    double tolerance = 1.5; ///< Highest slowdown, relative to that at a lower concurrency, at which the limit grows.
    std::uint32_t troubleThreshold = 4; ///< Refusals or failures in succession that start a recovery.
    Duration firstPause = std::chrono::milliseconds(50); ///< After a refusal while only one request is allowed.
    Duration longestPause = std::chrono::milliseconds(400); ///< The pause doubles with each further refusal.
};

/**
 * Limits the concurrent requests of a target that has just started or that recovers, by how it answers. Used at the
 * node on the target's host, which alone sees all of its requests.
 *
 * Load: the nodes of a fleet discover a new target at the same moment and send it several times what it can run, while
 * it is slow after its start; or a target refuses everything for seconds and is then able to work again.
 *
 * The limit doubles after each round of successes, so that a target of 12 slots has its full share after the time of
 * three requests, as long as its responses do not become slower than they were at the lower limit. That comparison
 * needs no other target as a reference, so that neither a slow host nor a fleet that starts at the same time is held
 * back. The limit is halved when the target refuses or fails; at one request, each further refusal delays the next one
 * by a pause, so that a target that refuses everything is tried by few. Not thread-safe.
 */
class TargetPace
{
public:
    explicit TargetPace(TargetPaceOptions options);

    /** The target has just started, or nothing is known about it. @p slots: what it announces. */
    void start(std::uint32_t slots);

    /**
     * Records the answer to a request. @p time: until the answer; @p typical: mean time of requests of the same kind at
     * all targets, zero if it is not known.
     */
    void record(PaceOutcome outcome, Duration time, Duration typical, std::uint32_t slots, TimePoint now);

    /** Number of requests that may run at the same time. 0 during a pause; @p slots when nothing limits the target. */
    std::uint32_t limit(std::uint32_t slots, TimePoint now) const;

    /** Expected time of a request that takes @p typical at a mean target; @p typical when nothing is limited. */
    Duration expectedTime(Duration typical) const;

    /** Whether the limit is lower than the number of slots. */
    bool isLimiting() const
    {
        return m_limiting;
    }

    /** End of the pause; requests that wait have to be started then. TimePoint::min() without one. */
    TimePoint pausedUntil() const
    {
        return m_pausedUntil;
    }

private:
    void recordSuccess(double slowdown, std::uint32_t slots);
    void recordTrouble(std::uint32_t slots, TimePoint now);
    void finishRound(std::uint32_t slots);
    void beginRecovery(double limit);

    TargetPaceOptions m_options;
    bool m_limiting = false;
    double m_limit = 1;
    double m_baseSlowdown = 0; ///< Lowest mean of a round of this recovery; 0 before the first round has ended.
    double m_roundSlowdown = 0; ///< Sum over the successes of the current round.
    std::uint32_t m_roundSuccesses = 0;
    std::uint32_t m_troubles = 0; ///< Refusals and failures since the last success.
    Duration m_pause = Duration::zero();
    TimePoint m_pausedUntil = TimePoint::min();
};

} // namespace Hornbeam
