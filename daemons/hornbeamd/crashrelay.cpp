#include "crashrelay.h"

#include "routingpublisher.h"

#include <hornbeam/base/executor.h>
#include <hornbeam/membership/failuredetector.h>
#include <hornbeam/membership/targetregistry.h>
#include <hornbeam/proxy/crashquarantine.h>

namespace Hornbeam {

namespace {

// Equal to the window of the quarantine: a later report could not complete a pair of crashes.
constexpr std::chrono::milliseconds reportLifetime{30000};

} // namespace

CrashRelay::CrashRelay(CrashRelayDependencies dependencies)
    : m_parts(dependencies)
{
}

void CrashRelay::targetCrashed(const Digest &request, const Endpoint &target)
{
    m_parts.executor.post([this, request, target] {
        // The detector also delivers the rumor to this node's own listener, which records the crash.
        m_parts.detector.spread({.request = request, .target = target, .timeToLive = reportLifetime});
    });
}

void CrashRelay::requestSucceeded(const Digest &request)
{
    m_parts.executor.post([this, request] { m_parts.quarantine.succeeded(request); });
}

void CrashRelay::targetUnreachable(const Target &target)
{
    m_parts.executor.post([this, target] { m_parts.targets.suspend(target.address, target.instance); });
}

void CrashRelay::received(const Rumor &rumor)
{
    if (m_parts.quarantine.report(rumor.request, rumor.target, m_parts.timers.now())) {
        m_parts.publisher.update();
    }
}

} // namespace Hornbeam
