#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/rollouts/fleetoutcomes.h>
#include <hornbeam/rollouts/outcomeledger.h>
#include <hornbeam/rollouts/rolloutdecider.h>
#include <hornbeam/rollouts/rolloutnetwork.h>
#include <hornbeam/rollouts/rolloutorder.h>
#include <hornbeam/rollouts/rolloutplan.h>
#include <hornbeam/rollouts/rolloutstore.h>
#include <hornbeam/rollouts/runningversion.h>
#include <hornbeam/rollouts/versioninuse.h>
#include <hornbeam/rollouts/versionrule.h>
#include <hornbeam/store/keyvaluestore.h>
#include <hornbeam/store/leaseelection.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

struct RolloutCoordinatorOptions
{
    std::string node; ///< Id of this node.
    RolloutLimits limits{};
    RolloutStoreOptions store{};
    std::string electionPrefix = "hornbeamring/rollout-decider/";
    Duration tick = std::chrono::milliseconds(100); ///< Period of decisions while a roll-out runs.
    Duration beat = std::chrono::milliseconds(300); ///< Period in which the decider repeats the newest step.
    Duration beatPerNode = std::chrono::milliseconds(2); ///< Lower bound of the same, for each live node.
    /** A step that is not repeated within this time ends: the node sends nothing to the new version until the next. */
    Duration stepLifetime = std::chrono::milliseconds(1500);
    std::chrono::seconds leaseTime{3}; ///< Time to live of the decider's lease.
    BackoffOptions readBackoff{.initial = std::chrono::seconds(1), .maximum = std::chrono::seconds(4)};
    /** After this time without the steps, the listener is told to go on without them. */
    Duration loadTimeout = std::chrono::seconds(1);
    /** Delays between attempts to read all steps when the node starts. */
    BackoffOptions loadBackoff{.initial = std::chrono::milliseconds(200), .maximum = std::chrono::seconds(2)};
    /** Random delays before the version in use is recorded, which more than one node can do. */
    BackoffOptions recordBackoff{.initial = std::chrono::seconds(1), .maximum = std::chrono::seconds(4)};
};

/** The referenced objects must outlive the coordinator. */
struct RolloutCoordinatorDependencies
{
    KeyValueStore &store;
    TimerService &timers;
    RolloutNetwork &network;
    RolloutListener &listener;
    OutcomeLedger &ledger;
    const RolloutStatusEncoder &status;
};

/**
 * Runs the roll-outs on one node: knows the orders and the newest steps, says which versions requests may use, reports
 * results, and decides while this node holds the decider's lease. Before a step takes effect, the decider writes it to
 * the store on the condition that the store still has its own step before, so that a decider that was replaced while it
 * was paused or cut off changes nothing. Control thread only.
 */
class RolloutCoordinator : private LeaseElectionListener
{
public:
    static Result<std::unique_ptr<RolloutCoordinator>> make(RolloutCoordinatorOptions options,
                                                            RolloutCoordinatorDependencies dependencies);
    /** Reads the steps of all services from the store, until it has them; see RolloutListener::rulesReady(). */
    void start();

    /** Frees the lease if this node decides. Call it when a stop begins. */
    void stop();

    /** Takes over an order, unless a later one of its service is known. */
    void setOrder(const RolloutOrder &order);

    /** Replaces the running versions. */
    void setVersions(std::vector<RunningVersion> versions);

    /** Handles a message of another node; malformed ones are ignored. */
    void receive(const std::string &node, std::string_view message);

    /** Which versions requests may use now, sorted by service. A service without an announced version has no rule. */
    std::vector<VersionRule> rules() const;

    /** The newest known step of each service; one of order 0 records the version in use before any order. */
    std::vector<RolloutStep> steps() const;

    bool isDecider() const;

private:
    struct Service
    {
        explicit Service(const RolloutCoordinatorOptions &options)
            : readBackoff(options.readBackoff)
            , recordBackoff(options.recordBackoff)
        {
        }

        std::optional<RolloutOrder> order;
        TimePoint orderKnown{};
        TimePoint ordered{}; ///< When the order was given; before orderKnown if that was while the node was down.
        std::optional<RolloutStep> step; ///< The newest one known.
        TimePoint heard = TimePoint::min(); ///< When the decider has last sent or repeated the step.
        TimePoint finished = TimePoint::min(); ///< When the step became final.
        VersionInUse inUse;
        FleetOutcomes outcomes;
        std::unique_ptr<RolloutDecider> decider;
        std::int64_t modRevision = 0; ///< Of the step in the store that this decider has written.
        std::optional<TimePoint> timerReadAt; ///< When the timer is read next; unset if the time is known without it.
        bool storeBusy = false;
        TimePoint storeRetry = TimePoint::min();
        bool reading = false;
        TimePoint readAt = TimePoint::min();
        Backoff readBackoff;
        Backoff recordBackoff;
        std::optional<TimePoint> recordAt; ///< When this node records the version in use.
        std::optional<VersionRule> rule;

        bool isOpen() const;
        bool isCurrent() const; ///< The step belongs to the newest order.
    };

    RolloutCoordinator(RolloutCoordinatorOptions options, RolloutCoordinatorDependencies dependencies);

    void acquired(std::uint32_t slot) override;
    void lost() override;

    Service &serviceOf(const std::string &name);
    void load();
    void loaded(const Result<StoredSteps> &stored);
    void updateVersions();
    void recordVersion(const std::string &name, Service &service);
    void versionRecorded(const RolloutStep &record, const Result<TransactionResult> &result);
    void schedule();
    void tick();
    void updateCandidacy();
    void updateRules();
    std::optional<VersionRule> ruleOf(const std::string &name, const Service &service) const;
    void adopt(Service &service, const RolloutStep &step, bool live, bool decider);
    void decide(const std::string &name, Service &service);
    void resignIfCutOff(const Service &service);
    void takeOver(const std::string &name);
    void takeOver(const std::string &name, const Result<StoredStep> &stored);
    void startTimer(const RolloutStep &first, std::int64_t expectedRevision);
    void readTimer(const std::string &name, Service &service);
    void timerRead(const std::string &name, const Result<bool> &running);
    void write(const RolloutStep &step, std::int64_t expectedRevision, bool first, LeaseId timer = 0);
    void written(const RolloutStep &step);
    void writeFailed(const RolloutStep &step, bool first);
    void readBack(const RolloutStep &step, bool first, const Result<StoredStep> &stored);
    void readStep(const std::string &name);
    void beat(bool now);
    OutcomeReport reportOf(const std::string &name, const Service &service) const;
    Duration elapsedOf(const Service &service) const;
    Duration observedTime(const Service &service) const;
    bool predatesStart(const RolloutOrder &order) const;

    const RolloutCoordinatorOptions m_options;
    RolloutCoordinatorDependencies m_dependencies;
    RolloutStore m_store;
    std::unique_ptr<LeaseElection> m_election;
    std::map<std::string, Service> m_services;
    TimerHandle m_tick;
    TimerHandle m_versionsTimer; ///< For updateVersions().
    TimerHandle m_loadTimer;
    TimerHandle m_loadTimeout;
    Backoff m_loadBackoff;
    bool m_loaded = false; ///< The steps were read when the node started.
    TimePoint m_started{};
    std::int64_t m_startRevision = 0; ///< Of the store when the steps were read.
    TimePoint m_lastBeat = TimePoint::min();
    TimePoint m_lastReports; ///< When enough nodes reported to this decider, or its term began.
    TimePoint m_candidateFrom = TimePoint::min(); ///< After a resignation, other candidates come first until then.
    bool m_candidate = false;
    bool m_stopped = false;
};

} // namespace Hornbeam
