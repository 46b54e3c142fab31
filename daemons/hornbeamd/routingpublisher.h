#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/proxy/routingstate.h>

#include <functional>
#include <vector>

namespace Hornbeam {

class CrashQuarantine;
class Executor;
class MembershipTable;
class ProxyServer;
class SnapshotHolder;

/** What the publisher needs. The referenced objects must outlive it. */
struct RoutingPublisherDependencies
{
    Executor &executor;
    TimerService &timers;
    SnapshotHolder &configuration;
    MembershipTable &members;
    CrashQuarantine &quarantine;
};

/**
 * Builds the immutable routing state and publishes it to the traffic threads after each change. Changes made in the
 * same event loop iteration are published together, so that no route appears without its targets. Control thread only.
 */
class RoutingPublisher
{
public:
    explicit RoutingPublisher(RoutingPublisherDependencies dependencies);

    /** Starts publishing to @p proxy, which must outlive the publisher. */
    void start(ProxyServer &proxy);

    /** Sets the targets on this host, which the node knows first-hand; the membership is told of them as well. */
    void setOwnTargets(std::vector<Target> targets);

    /**
     * Uses the rules of roll-outs. @p rules: called for each publication with all targets of live members, leaving ones
     * included; returns the rules for RoutingState::versions.
     */
    void setVersionRules(std::function<std::vector<VersionRule>(const std::vector<Target> &)> rules);

    /** Schedules a publication. Calls made before it runs are coalesced. */
    void update();

    /** Lets the proxy serve requests. Call it once Disseminator::ready() is true. */
    void setReady();

    bool ready() const
    {
        return m_ready;
    }

private:
    RoutingStatePtr build();
    void publish();

    RoutingPublisherDependencies m_dependencies;
    ProxyServer *m_proxy = nullptr;
    TimerHandle m_quarantineTimer;
    std::vector<Digest> m_publishedQuarantine;
    std::vector<SuspectRequest> m_publishedSuspects;
    std::vector<Target> m_ownTargets;
    std::function<std::vector<VersionRule>(const std::vector<Target> &)> m_versionRules; ///< Null without roll-outs.
    bool m_ready = false;
    bool m_publicationPending = false;
};

} // namespace Hornbeam
