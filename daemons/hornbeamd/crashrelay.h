#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/rumor.h>
#include <hornbeam/proxy/proxyserver.h>

namespace Hornbeam {

class CrashQuarantine;
class Executor;
class FailureDetector;
class TargetRegistry;
class RoutingPublisher;

/** The parts that crash reports pass through; they outlive the relay. */
struct CrashRelayDependencies
{
    Executor &executor;
    TimerService &timers;
    CrashQuarantine &quarantine;
    FailureDetector &detector;
    RoutingPublisher &publisher;
    TargetRegistry &targets;
};

/**
 * Passes crash reports of the traffic threads to the quarantine of this node and, as rumors, to those of all others,
 * so that the second crash is recognised wherever it happens.
 */
class CrashRelay : public CrashReporter
{
public:
    explicit CrashRelay(CrashRelayDependencies dependencies);

    void targetCrashed(const Digest &request, const Endpoint &target) override;
    void requestSucceeded(const Digest &request) override;
    void targetUnreachable(const Target &target) override;

    /** Takes a report of another node. Control thread only. */
    void received(const Rumor &rumor);

private:
    CrashRelayDependencies m_parts;
};

} // namespace Hornbeam
