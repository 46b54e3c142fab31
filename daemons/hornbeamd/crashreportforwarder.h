#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/rumor.h>
#include <hornbeam/proxy/proxyserver.h>

#include <cstdint>

namespace Hornbeam {

class CrashQuarantine;
class Executor;
class FailureDetector;
class TargetRegistry;
class RoutingPublisher;

/** What the forwarder needs. The referenced objects must outlive it. */
struct CrashReportForwarderDependencies
{
    Executor &executor;
    TimerService &timers;
    CrashQuarantine &quarantine;
    FailureDetector &detector;
    RoutingPublisher &publisher;
    TargetRegistry &targets;
};

/**
 * Forwards crash reports from the traffic threads to the quarantine of this node and, as rumors, to those of all other
 * nodes, so that the second crash of a request is recognised on whichever node it occurs. In the same way, tells all
 * nodes which crashes a request that has since succeeded did not cause. Also suspends targets of this node that cannot
 * be reached.
 */
class CrashReportForwarder : public CrashReporter
{
public:
    explicit CrashReportForwarder(CrashReportForwarderDependencies dependencies);

    void targetCrashed(const Digest &request, const Endpoint &target) override;
    void requestSucceeded(const Digest &request) override;
    void targetUnreachable(const Target &target) override;

    /**
     * Records the crash that a rumor reports or refutes, whether of this node or another. The node subscribes it to the
     * rumors of the failure detector. Control thread only.
     */
    void rumorReceived(const Rumor &rumor);

private:
    CrashReportForwarderDependencies m_dependencies;
    std::uint64_t m_lastEvent; ///< Starts at a random number, so that the events of nodes and processes differ.
};

} // namespace Hornbeam
