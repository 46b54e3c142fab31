#pragma once

#include "targetload.h"

#include <hornbeam/config/label.h>

#include <random>
#include <span>
#include <string>
#include <vector>

namespace Hornbeam {

/** Costs by which targets are compared, expressed as additional latency of the response. */
struct PlacementOptions
{
    std::string zone; ///< Availability zone of this node.
    std::chrono::milliseconds zoneCost{40}; ///< Of sending a request and its response across zones.
    std::chrono::milliseconds bulkZoneCost{400}; ///< The same for a large response.
    std::chrono::milliseconds hopCost{3}; ///< Of forwarding a request to another node.
    std::chrono::milliseconds busyCost{60}; ///< Of a target with all slots in use; proportional below that.
    std::chrono::milliseconds failureCost{600}; ///< Of a target that fails every request; proportional below that.
    std::chrono::milliseconds defaultServiceTime{100}; ///< Service time of a target without samples.
    std::chrono::milliseconds jitter{
        30}; ///< Largest random cost; makes nodes with equal data choose different targets.
    std::chrono::milliseconds reportTimeConstant{2000}; ///< Of the exponential decay of a load report's weight.
    std::chrono::milliseconds serviceTimeConstant{5000}; ///< The same for the service time in the report.
    std::chrono::milliseconds slowdownTimeConstant{600}; ///< The same for the slowdown of the target's host.
    std::chrono::milliseconds warmUpTime{5000}; ///< For which a new target may be slower than later.
    std::chrono::milliseconds warmUpTimeConstant{2000}; ///< Of the service time in a report from the warm-up.
    std::uint64_t seed = 0; ///< Seed of the jitter; 0 takes one from the operating system.
};

/** The request to place and the targets that it may use. */
struct PlacementQuery
{
    std::span<const Label> requiredLabels; ///< Sorted.
    std::span<const Endpoint> excluded; ///< Targets that already refused or failed the request.
    Duration maxWait = Duration::zero(); ///< Longest queueing time.
    AdmissionRank rank = Priority::Normal;
    bool bulk = false; ///< The response is large.
    Duration bulkTransferTime = Duration::zero(); ///< Of a large response over one more host link.
    VersionTrack track = VersionTrack::Stable; ///< Targets of other versions are not suitable.
};

/**
 * Chooses the target of a request in a service whose targets are reached through the relay listener of their node,
 * which queues and admits their requests. The load of a target on this host is known exactly. The load of a remote
 * target is estimated: the last report of its node, weighted by its age, plus the requests of this node that are
 * outstanding there. The target with the lowest cost is chosen: the sum of expected wait, service time, distance,
 * occupancy and failures. Many nodes choose independently on load reports that are some requests old, which is why the
 * weight of a report decays and the cost has a random part. Not thread-safe.
 */
class PlacementPolicy
{
public:
    enum class Outcome {
        Free, ///< The target is expected to have a free slot.
        Wait, ///< The target is expected to have a free slot within the longest wait.
        NoRoom, ///< The expected wait at every suitable target exceeds the longest wait.
        NoTarget, ///< No target is suitable.
    };

    struct Placement
    {
        Outcome outcome = Outcome::NoTarget;
        TargetLoadPtr target;
        Duration expectedWait = Duration::zero(); ///< At the target; for NoRoom, the shortest of all targets.
    };

    explicit PlacementPolicy(PlacementOptions options);

    /** @p localQueuedAhead: requests that are queued for the target on this host and precede this one. */
    Placement choose(std::span<const TargetLoadPtr> targets,
                     const PlacementQuery &query,
                     std::size_t localQueuedAhead,
                     TimePoint now);

    /** The shortest expected wait at any suitable target that is not ejected; zero if there is none. */
    Duration shortestWait(std::span<const TargetLoadPtr> targets,
                          const PlacementQuery &query,
                          std::size_t localQueuedAhead,
                          TimePoint now);

    /** Expected queueing time of a new request at a target with @p requests running or queued requests. */
    Duration expectedWait(const TargetLoad &load, double requests, TimePoint now) const;

private:
    double expectedRequests(const TargetLoad &load,
                            AdmissionRank rank,
                            std::size_t localQueuedAhead,
                            TimePoint now) const;
    double costOf(const TargetLoad &load, const PlacementQuery &query, double requests, TimePoint now);
    void updateMeans(std::span<const TargetLoadPtr> targets, AdmissionRank rank, TimePoint now);
    bool isRecent(const TargetLoad &load, TimePoint now) const;

    /** Mean wait for the link in the recent reports of the targets other than @p load; zero without any. */
    Duration linkWaitOfOthers(const TargetLoad &load, TimePoint now) const;

    /** Expected wait of a large response for the link of the host of @p load, after the request has run. */
    Duration linkWaitOf(const TargetLoad &load, TimePoint now) const;
    static double slowdownOf(const TargetLoad &load, Duration constant, TimePoint now);
    Duration serviceTimeOf(const TargetLoad &load, TimePoint now) const;
    Duration usualTimeOf(const TargetLoad &load, TimePoint now) const;

    PlacementOptions m_options;
    std::mt19937_64 m_random;
    Duration m_recentLinkWaits = Duration::zero(); ///< Sum of TargetLoad::largeResponseWait in recent reports.
    int m_recentReports = 0;
    double m_meanOccupancy = 0; ///< Requests of other nodes per slot, averaged over targets with a recent report.
    Duration m_meanServiceTime = Duration::zero(); ///< Of the targets that have reported one; the default without any.
};

} // namespace Hornbeam
