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

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * The node's view of its targets: who runs how many of its requests, who waits, who is ejected. Shared by the traffic
 * threads, because slots and outstanding requests count per node. Safe from any thread.
 */
class LoadBalancer
{
public:
    /** @p link outlives the balancer. */
    LoadBalancer(const ProxyOptions &options, MetricsRegistry &metrics, const LinkPacer &link);

    /** Takes over the targets of @p state. A target keeps its load while its address and instance stay the same. */
    void publish(const RoutingState &state, TimePoint now);

    /** Takes a slot, queues or refuses the request. Returns whether it was queued; finish() tells the result. */
    bool acquire(const SlotRequestPtr &request, TimePoint now);

    /** Ends the wait of a request and returns its result; a request that still waits is removed from the queue. */
    SlotResult finish(const SlotRequestPtr &request);

    /** Counts a first attempt for the retry budget of the service. */
    void countRequest(const std::string &service);

    bool tryTakeRetry(const std::string &service);

    /** Counts a call of a request that itself runs for a second time, see RetryBudget::chargeRetry(). */
    void chargeRetry(const std::string &service);

    void recordSuccess(const SlotLease &lease, TimePoint now);
    /** Records that a target or its node answered, which says nothing about how the target runs requests. */
    void recordReach(const SlotLease &lease, TimePoint now);
    /** Records that the node of a target cannot be reached, so that requests go elsewhere for a moment. */
    void recordUnreachable(const SlotLease &lease, TimePoint now);

    /** Records that a target refused a request although it has a free slot. */
    void recordRejection(const SlotLease &lease, TimePoint now);
    void recordFailure(const SlotLease &lease, TimePoint now);

    /** Takes over what the target's own node reports with a response to this node. */
    void recordReport(const SlotLease &lease, const LoadReport &report, TimePoint now);

    /** The load of a target on this host for the other nodes, without the request that @p lease belongs to. */
    LoadReport reportOf(const SlotLease &lease) const;

    /** The load of the target of that name on this host; nothing when there is none. */
    std::optional<LoadReport> reportOf(const std::string &service, const std::string &ownTarget) const;

    /** Shortest time that a request of @p rank is expected to wait for a slot of the service; zero without targets. */
    Duration shortestWait(const std::string &service, AdmissionRank rank, TimePoint now);

    /** Mean time of a request at the targets of a service. */
    Duration typicalServiceTime(const std::string &service) const;

    /** Random whole seconds after which a refused caller may try again, spread so that callers do not return at once.
     */
    int retryAfterSeconds(const std::string &service);

    /** Like retryAfterSeconds(), for callers that understand a fraction. */
    std::chrono::milliseconds retryAfter(Duration expectedWait);

    /** Targets and queue lengths as JSON members, for the dump. */
    std::string dumpJson(TimePoint now) const;

private:
    friend class SlotLease;
    friend class SlotRequest;

    struct ServiceState
    {
        ServiceState(std::uint32_t maxQueued, std::uint32_t retryPercent);

        /** Whether nodes admit the requests of their own targets, instead of each node those that it sends. */
        bool hasGateways() const;
        TargetLoadPtr findOwn(const std::string &name) const;

        std::vector<TargetLoadPtr> targets;
        AdmissionController admission;
        RetryBudget retries;
    };

    bool acquireOwn(const SlotRequestPtr &request, ServiceState &service, const TargetLoadPtr &load, TimePoint now);
    bool place(const SlotRequestPtr &request, ServiceState &service, TimePoint now);
    bool applyVerdict(AdmissionController::Verdict verdict, SlotRequest &request);
    void recordOutcome(TargetLoad &load, bool failed);
    LoadReport makeReport(const TargetLoad &load, const ServiceState &service) const;
    ServiceState &serviceState(const std::string &name);
    TargetLoadPtr loadOf(const Target &target, const std::vector<TargetLoadPtr> &known, TimePoint now) const;
    void rebuild(const RoutingState &state, TimePoint now);
    void release(const std::string &service, TargetLoad &load, TimePoint started);
    TargetSelector::Selection select(const std::string &service, const TargetQuery &query, TimePoint now);

    const ProxyOptions m_options;
    const LinkPacer &m_link;
    Counter &m_ejections;
    mutable std::mutex m_mutex;
    TargetSelector m_selector;
    PlacementPolicy m_placement;
    OutlierDetector m_outliers;
    std::map<std::string, ServiceState, std::less<>> m_services;
    std::mt19937_64 m_random;
    bool m_seenTargets = false;
};

} // namespace Hornbeam
