#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/proxy/routingstate.h>

namespace Hornbeam {

class CrashQuarantine;
class Executor;
class MembershipTable;
class ProxyServer;
class SnapshotHolder;

/** What the routing state is built from; the referenced objects outlive the publisher. */
struct RoutingPublisherDependencies
{
    Executor &executor;
    TimerService &timers;
    SnapshotHolder &configuration;
    MembershipTable &members;
    CrashQuarantine &quarantine;
};

/**
 * Builds the immutable routing state and publishes it to the traffic threads after each change.
 * A route and the targets it leads to are published together. Changes that arrive in one turn of the control thread
 * are published once. Control thread only.
 */
class RoutingPublisher
{
public:
    explicit RoutingPublisher(RoutingPublisherDependencies dependencies);

    /** Starts publishing to @p proxy, which outlives the publisher. */
    void start(ProxyServer &proxy);

    /** Sets the targets on this host, which are certain at once; the membership hears of them as well. */
    void setOwnTargets(std::vector<Target> targets);

    /** Publishes soon; several calls before that are one. */
    void update();

    /** Lets the proxy serve calls. The node does so once it knows the configuration floor. */
    void setReady();

    bool ready() const
    {
        return m_ready;
    }

private:
    RoutingStatePtr build();
    void publish();

    RoutingPublisherDependencies m_parts;
    ProxyServer *m_proxy = nullptr;
    TimerHandle m_quarantineTimer;
    std::vector<Digest> m_publishedQuarantine;
    std::vector<Target> m_ownTargets;
    bool m_ready = false;
    bool m_pending = false;
};

} // namespace Hornbeam
