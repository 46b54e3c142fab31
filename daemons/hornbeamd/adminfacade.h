#pragma once

#include <hornbeam/admin/announcementapi.h>
#include <hornbeam/admin/operatorapi.h>
#include <hornbeam/admin/statusapi.h>

#include <string>

namespace Hornbeam {

class ConfigSource;
class CrashQuarantine;
class DepartureLog;
class Disseminator;
class MembershipTable;
class MetricsRegistry;
class ProxyServer;
class RolloutAgent;
class RoutingPublisher;
class TargetRegistry;
class TimerService;
class SnapshotHolder;

/** Components that the admin API reads and changes. The referenced objects must outlive the facade. */
struct AdminFacadeDependencies
{
    std::string id; ///< Member id of the node.
    std::string zone;
    Endpoint gateway; ///< Relay listener through which other nodes reach the targets of this host; port 0 for none.
    KeyValueStore &store;
    TimerService &timers;
    SnapshotHolder &configuration;
    MembershipTable &members;
    TargetRegistry &targets;
    DepartureLog *departures; ///< Null if departures are not kept in the store.
    Disseminator &disseminator;
    ConfigSource &configSource;
    CrashQuarantine &quarantine;
    RoutingPublisher &publisher;
    ProxyServer &proxy;
    RolloutAgent *rollouts; ///< Null without roll-outs.
    MetricsRegistry &metrics;
};

/** Implements the admin API with the node's components. Control thread only. */
class AdminFacade : public OperatorApi,
                    public AnnouncementApi,
                    public StatusApi,
                    private AppliedConfiguration,
                    private FleetView
{
public:
    explicit AdminFacade(AdminFacadeDependencies dependencies);

    void createPlan(Intent intent, std::function<void(Result<Plan>)> callback) override;
    void readPlan(const std::string &id, std::function<void(Result<Plan>)> callback) override;
    void confirmPlan(const std::string &id, std::function<void(ConfirmResult)> callback) override;
    SnapshotPtr configuration() const override;
    RolloutStatus rollout(ConfigVersion version) const override;

    Result<Target> announce(const Announcement &announcement) override;
    Result<Target> withdraw(const Endpoint &address) override;
    Result<Target> withdraw(const std::string &name, std::uint64_t lastInstance) override;
    void whenDeparturesRecorded(std::function<void()> recorded) override;
    std::vector<Target> knownTargets() const override;

    std::string renderMetrics() const override;
    std::string dumpJson() const override;
    std::string rolloutsJson() const override;
    HealthStatus health() const override;

    /** Makes health() report from now on that the node is not ready, so that callers go elsewhere. */
    void setStopping()
    {
        m_stopping = true;
    }

private:
    SnapshotPtr applied() const override;
    ConfigVersion newestKnownVersion() const override;
    std::size_t nodeCount() const override;
    std::size_t targetCount(const std::vector<std::string> &services,
                            const std::vector<Endpoint> &addresses) const override;

    AdminFacadeDependencies m_dependencies;
    PlanService m_plans;
    bool m_stopping = false;
};

} // namespace Hornbeam
