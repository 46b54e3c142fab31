#pragma once

#include "admissioncontroller.h"
#include "linkpacer.h"
#include "outlierdetector.h"
#include "placementpolicy.h"
#include "retrybudget.h"
#include "slotlease.h"
#include "slotrequest.h"
#include "targetselector.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/proxy/proxyoptions.h>
#include <hornbeam/proxy/routingstate.h>
#include <hornbeam/rollouts/versiongate.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * The load state of all targets as this node sees it: outstanding requests, request queues and ejections. Shared by the
 * traffic threads, because slots and outstanding requests are counted per node. Thread-safe.
 */
class LoadBalancer
{
public:
    /** @p link must outlive the load balancer. */
    LoadBalancer(const ProxyOptions &options, MetricsRegistry &metrics, const LinkPacer &link);

    /** Replaces the targets by those of @p state. A target with the same address and instance keeps its load state. */
    void publish(const RoutingState &state, TimePoint now);

    /** Grants a slot to the request, queues or refuses it. Returns whether it was queued; see finish() for the result.
     */
    bool acquire(const SlotRequestPtr &request, TimePoint now);

    /** Returns the result of a request, which is removed from the queue if it is still queued. */
    SlotResult finish(const SlotRequestPtr &request);

    /** Credits the first attempt of a request to the retry budget of the service. */
    void countRequest(const std::string &service);

    /** See RetryBudget::tryTakeRetry(). */
    bool tryTakeRetry(const std::string &service);

    /** Charges a nested call of a repeated request to the retry budget, see RetryBudget::chargeRetry(). */
    void chargeRetry(const std::string &service);

    void recordSuccess(const SlotLease &lease, TimePoint now);

    /**
     * Records that a target or its node responded. Resets the consecutive failures; the failure rate is unchanged,
     * because the response does not show whether the target runs requests successfully.
     */
    void recordReachable(const SlotLease &lease, TimePoint now);

    /** Records that the node of a target cannot be reached, and ejects the target for a short time. */
    void recordUnreachable(const SlotLease &lease, TimePoint now);

    /** Records that a target refused a request although it had a free slot. Raises the failure rate only. */
    void recordRejection(const SlotLease &lease, TimePoint now);

    /** Records a failure of the target, which may eject it. */
    void recordFailure(const SlotLease &lease, TimePoint now);

    /** Records a response for the comparison of the versions during a roll-out. */
    void recordVersionResult(const SlotLease &lease, bool failed);

    /**
     * Tells the pace of a target on this host how it has answered. @p typical: mean time of requests of the same route;
     * zero if it is not known.
     */
    void recordPace(const SlotLease &lease, PaceOutcome outcome, Duration typical, TimePoint now);

    /** Updates the load of a remote target from the report that its node sent with a response. */
    void recordReport(const SlotLease &lease, const LoadReport &report, TimePoint now);

    /** Takes over the load that a target on this host states in a response. */
    void recordStatedLoad(const SlotLease &lease, const StatedLoad &stated, TimePoint now);

    /** The load of a target on this host, for other nodes. Excludes the request that @p lease belongs to. */
    LoadReport reportOf(const SlotLease &lease) const;

    /** The load of the target named @p localTarget on this host; std::nullopt if there is none. */
    std::optional<LoadReport> reportOf(const std::string &service, const std::string &localTarget) const;

    /** Shortest expected wait of a request of @p rank for a slot of the service; zero without targets. */
    Duration shortestWait(const std::string &service, AdmissionRank rank, TimePoint now);

    /** Mean service time of the targets of a service. */
    Duration typicalServiceTime(const std::string &service) const;

    /** Retry-After in whole seconds for a refused caller, with jitter so that callers do not all retry at once. */
    int retryAfterSeconds(const std::string &service);

    /** Retry-After with jitter for callers that accept fractional seconds. */
    std::chrono::milliseconds retryAfter(Duration expectedWait);

    /** Targets and queue lengths by service as a JSON object, for the state dump. */
    std::string dumpJson(TimePoint now) const;

private:
    friend class SlotLease;
    friend class SlotRequest;

    struct ServiceState
    {
        ServiceState(std::uint32_t maxQueued, std::uint32_t retryPercent);

        /** Whether a target is reached through its node, which then admits requests instead of the sending node. */
        bool hasGateways() const;
        TargetLoadPtr findLocal(const std::string &name) const;

        std::vector<TargetLoadPtr> targets;
        AdmissionController admission;
        RetryBudget retries;
    };

    bool acquireLocal(const SlotRequestPtr &request, ServiceState &service, const TargetLoadPtr &load, TimePoint now);
    PlacementPolicy::Placement choosePlacement(ServiceState &service,
                                               const std::string &name,
                                               PlacementQuery query,
                                               TimePoint now);
    bool placeRequest(const SlotRequestPtr &request, ServiceState &service, TimePoint now);
    bool applyDecision(AdmissionController::Decision decision, SlotRequest &request);
    void recordOutcome(TargetLoad &load, bool failed);
    void updatePace(TargetLoad &load, TimePoint now);
    Duration pacedWait(const TargetLoad &load, const std::string &service, std::size_t queuedAhead) const;
    Duration typicalTime(const ServiceState &service) const;
    LoadReport makeReport(const TargetLoad &load, const ServiceState &service) const;
    ServiceState &serviceState(const std::string &name);
    TargetLoadPtr findOrCreateLoad(const Target &target, const std::vector<TargetLoadPtr> &known, TimePoint now) const;
    void rebuildTargets(const RoutingState &state, TimePoint now);
    void release(const std::string &service, TargetLoad &load, TimePoint started);
    TargetSelector::Selection select(const std::string &service, const TargetQuery &query, TimePoint now);

    const ProxyOptions m_options;
    const LinkPacer &m_link;
    Counter &m_ejections;
    Counter &m_recoveries;
    mutable std::mutex m_mutex;
    TargetSelector m_selector;
    PlacementPolicy m_placement;
    OutlierDetector m_outliers;
    VersionGate m_versions;
    std::map<std::string, ServiceState, std::less<>> m_services;
    std::mt19937_64 m_random;
    bool m_seenTargets = false;
};

} // namespace Hornbeam
