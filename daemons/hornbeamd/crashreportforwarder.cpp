#include "crashreportforwarder.h"

#include "routingpublisher.h"

#include <hornbeam/base/executor.h>
#include <hornbeam/membership/failuredetector.h>
#include <hornbeam/membership/targetregistry.h>
#include <hornbeam/proxy/crashquarantine.h>

namespace Hornbeam {

namespace {

// Equal to the default of CrashQuarantineOptions::window, which the node uses. Only crashes of a request within that
// time of each other lead to its quarantine, so the report of a crash is not spread for longer.
constexpr std::chrono::milliseconds reportLifetime{30000};

} // namespace

CrashReportForwarder::CrashReportForwarder(CrashReportForwarderDependencies dependencies)
    : m_dependencies(dependencies)
{
}

void CrashReportForwarder::targetCrashed(const Digest &request, const Endpoint &target)
{
    m_dependencies.executor.post([this, request, target] {
        // The detector also calls the listeners of this node. Among them is rumorReceived(), which records the crash.
        m_dependencies.detector.spread({.request = request, .target = target, .timeToLive = reportLifetime});
    });
}

void CrashReportForwarder::requestSucceeded(const Digest &request)
{
    m_dependencies.executor.post([this, request] { m_dependencies.quarantine.succeeded(request); });
}

void CrashReportForwarder::targetUnreachable(const Target &target)
{
    m_dependencies.executor.post([this, target] { m_dependencies.targets.suspend(target.address, target.instance); });
}

void CrashReportForwarder::rumorReceived(const Rumor &rumor)
{
    if (m_dependencies.quarantine.report(rumor.request, rumor.target, m_dependencies.timers.now())) {
        m_dependencies.publisher.update();
    }
}

} // namespace Hornbeam
