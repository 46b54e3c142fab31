#pragma once

#include "targetload.h"

#include <hornbeam/config/label.h>

#include <random>
#include <span>
#include <string>
#include <vector>

namespace Hornbeam {

/** Costs by which targets are compared. All are times that a response is later, or worth that much less. */
struct PlacementOptions
{
    std::string zone; ///< Zone of this node.
    std::chrono::milliseconds zoneCost{40}; ///< Sending a request and its response to another zone.
    std::chrono::milliseconds bulkZoneCost{400}; ///< The same for a response that is large.
    std::chrono::milliseconds hopCost{3}; ///< Sending a request to another node.
    std::chrono::milliseconds busyCost{30}; ///< A target with all slots in use, in proportion below that.
    std::chrono::milliseconds failureCost{600}; ///< A target that fails every request, in proportion below that.
    std::chrono::milliseconds defaultServiceTime{100}; ///< Of a target that has reported none.
    std::chrono::milliseconds noise{8}; ///< Random part, so that nodes with the same view choose different targets.
    std::chrono::milliseconds reportLifetime{400}; ///< Time constant with which a report loses its weight.
    std::uint64_t seed = 0; ///< Seed of the random part; 0 takes one from the operating system.
};

/** Which targets a request may use. */
struct PlacementQuery
{
    std::span<const Label> requiredLabels; ///< Sorted.
    std::span<const Endpoint> excluded; ///< Targets that refused or failed the request.
    Duration maxWait = Duration::zero(); ///< Longest time that the request may wait for a slot.
    AdmissionRank rank = Priority::Normal;
    bool bulk = false; ///< The response is large.
    Duration bulkHop = Duration::zero(); ///< Time that a large response needs on one more link.
};

/**
 * Chooses among the targets of a service when most of them admit their requests at their own nodes. A target on this
 * host is known exactly; the load of another one is the last report of its node, which ages, plus what this node has
 * sent since. The target with the lowest sum of expected wait, distance, occupancy and failures wins.
 * Answers the load of many nodes that choose for themselves with views that are some requests old. Not thread-safe.
 */
class PlacementPolicy
{
public:
    enum class Verdict {
        Free, ///< The target is expected to have a free slot.
        Wait, ///< No target is; this one is expected to have one soonest, within the longest wait.
        NoRoom, ///< Every target would let the request wait too long.
        NoTarget, ///< No target is suitable.
    };

    struct Placement
    {
        Verdict verdict = Verdict::NoTarget;
        TargetLoadPtr target;
        Duration expectedWait = Duration::zero(); ///< At the target; the shortest one for NoRoom.
    };

    explicit PlacementPolicy(PlacementOptions options);

    /** @p ownAhead: requests that wait at the target on this host and come before this one. */
    Placement choose(std::span<const TargetLoadPtr> targets,
                     const PlacementQuery &query,
                     std::size_t ownAhead,
                     TimePoint now);

    /** The shortest expected wait at any target that is not ejected; zero when there is none. */
    Duration shortestWait(std::span<const TargetLoadPtr> targets,
                          const PlacementQuery &query,
                          std::size_t ownAhead,
                          TimePoint now);

    /** Expected time until a new request would get a slot of @p load. */
    Duration expectedWait(const TargetLoad &load, double requests) const;

private:
    double expectedRequests(const TargetLoad &load, AdmissionRank rank, std::size_t ownAhead, TimePoint now) const;
    double costOf(const TargetLoad &load, const PlacementQuery &query, double requests, TimePoint now);
    void updateMeanOccupancy(std::span<const TargetLoadPtr> targets, AdmissionRank rank, TimePoint now);
    Duration linkWaitOf(const TargetLoad &load) const;
    Duration serviceTimeOf(const TargetLoad &load) const;

    PlacementOptions m_options;
    std::mt19937_64 m_random;
    double m_meanOccupancy = 0; ///< Requests of other nodes per slot, over the targets with a recent report.
};

} // namespace Hornbeam
