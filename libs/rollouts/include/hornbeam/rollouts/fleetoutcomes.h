#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/rollouts/outcomes.h>

#include <deque>
#include <map>
#include <string>

namespace Hornbeam {

/**
 * The results that all nodes have reported for one order, over all time and over the last seconds. A report replaces
 * the earlier one of its node, so that lost, repeated and reordered reports do no harm. Not thread-safe.
 */
class FleetOutcomes
{
public:
    /** Oldest sums that are kept for outcomesSince(). */
    static constexpr std::chrono::seconds history{8};

    /** @p node: id of a process, which changes when the node restarts; its earlier sums are kept. */
    void add(const std::string &node, const OutcomeReport &report, TimePoint now);

    /** All results of a version. */
    RouteOutcomes outcomes(const std::string &version) const;

    /** The results of a version that were reported after @p since, which is at most @c history ago. */
    RouteOutcomes outcomesSince(const std::string &version, TimePoint since) const;

    /** The number of nodes that have reported after @p since. */
    std::size_t nodesSince(TimePoint since) const;

    /** The number of nodes that have reported a failure of a version after @p since, and of those that have run it. */
    struct Spread
    {
        std::size_t nodes = 0;
        std::size_t failing = 0;
    };
    Spread spreadSince(const std::string &version, TimePoint since) const;

    /** The longest time since the order that a node has reported. */
    std::chrono::milliseconds longestElapsed() const
    {
        return m_longestElapsed;
    }

private:
    struct Sample
    {
        TimePoint at;
        OutcomeReport report;
    };

    /** The reports of one node, oldest first; one that is older than the history is kept as the base. */
    using Samples = std::deque<Sample>;

    static const OutcomeReport *reportBefore(const Samples &samples, TimePoint since);
    static RouteOutcomes difference(const Samples &samples, const std::string &version, TimePoint since);

    std::map<std::string, Samples> m_nodes;
    std::chrono::milliseconds m_longestElapsed{0};
};

} // namespace Hornbeam
