#pragma once

#include <hornbeam/rollouts/versionrule.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace Hornbeam {

/** Group of a target by its version. */
enum class VersionTrack {
    Stable,
    Fresh, ///< Of the version that a roll-out brings in.
    Held, ///< Of a version that nothing has allowed; gets no requests.
};

/**
 * Decides at the node of the caller which version a request may use. It counts the requests of this node since the
 * order, so the limit on the new version's share holds over all nodes without any exchange, however unevenly the
 * requests fall on the nodes, and also while no step arrives. Load: a version that fails half of its requests, seen by
 * this node before any report or step; the node then stops using it by itself. Not thread-safe.
 */
class VersionGate
{
public:
    /** @p seed: of the random start values; 0 takes one from the operating system. */
    explicit VersionGate(std::uint64_t seed = 0);

    /** Replaces the rules. The counts of a service are kept while its order is the same. */
    void setRules(const std::vector<VersionRule> &rules);

    /** The track of a target; Stable for a service without a rule. */
    VersionTrack trackOf(const std::string &service, const std::string &version) const;

    /** The track that the next request of the service should use: Stable or Fresh. */
    VersionTrack next(const std::string &service) const;

    /** Whether requests of the service that find no room at a fresh target have to be refused. */
    bool isSwitching(const std::string &service) const;

    /** Counts a request that was sent to a target of this track. */
    void sent(const std::string &service, VersionTrack track);

    /**
     * Records a response. If the fresh version fails far more often than the stable one, this node sends nothing to it
     * until the next step.
     */
    void responded(const std::string &service, VersionTrack track, bool failed);

private:
    struct State
    {
        VersionRule rule;
        std::uint64_t requests = 0; ///< Since the order.
        std::uint64_t freshRequests = 0;
        double credit =
            0; ///< Requests of the fresh version that are due; the random start spreads them over the nodes.
        double freshFailures = 0; ///< Moving average of the failure rate.
        double stableFailures = 0;
        bool cut = false;

        bool isWithinLimit() const;
    };

    std::map<std::string, State, std::less<>> m_services;
    std::mt19937_64 m_random;
};

} // namespace Hornbeam
