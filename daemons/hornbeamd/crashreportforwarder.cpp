#include "crashreportforwarder.h"

#include "routingpublisher.h"

#include <hornbeam/base/executor.h>
#include <hornbeam/membership/failuredetector.h>
#include <hornbeam/membership/targetregistry.h>
#include <hornbeam/proxy/crashquarantine.h>

#include <random>

namespace Hornbeam {

namespace {

// A rumor reaches all live nodes within seconds. For the rest of its lifetime, nodes that join receive it as well. The
// nodes remember a crash for longer, see CrashQuarantineOptions::window.
constexpr std::chrono::milliseconds reportLifetime{30000};

std::uint64_t randomEvent()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

} // namespace

CrashReportForwarder::CrashReportForwarder(CrashReportForwarderDependencies dependencies)
    : m_dependencies(dependencies)
    , m_lastEvent(randomEvent())
{
}

void CrashReportForwarder::targetCrashed(const Digest &request, const Endpoint &target)
{
    m_dependencies.executor.post([this, request, target] {
        // The detector also calls the listeners of this node. Among them is rumorReceived(), which records the crash.
        m_dependencies.detector.spread(
            {.request = request, .target = target, .event = ++m_lastEvent, .timeToLive = reportLifetime});
    });
}

void CrashReportForwarder::requestSucceeded(const Digest &request)
{
    m_dependencies.executor.post([this, request] {
        for (const auto &crash : m_dependencies.quarantine.succeeded(request)) {
            m_dependencies.detector.spread({.request = crash.request,
                                            .target = crash.target,
                                            .event = crash.event,
                                            .refuted = true,
                                            .timeToLive = reportLifetime});
        }
        m_dependencies.publisher.update();
    });
}

void CrashReportForwarder::targetUnreachable(const Target &target)
{
    m_dependencies.executor.post([this, target] { m_dependencies.targets.suspend(target.address, target.instance); });
}

void CrashReportForwarder::rumorReceived(const Rumor &rumor)
{
    const CrashReport crash{.request = rumor.request, .target = rumor.target, .event = rumor.event};
    if (rumor.refuted) {
        m_dependencies.quarantine.refute(crash, m_dependencies.timers.now());
    } else {
        m_dependencies.quarantine.report(crash, m_dependencies.timers.now());
    }
    m_dependencies.publisher.update();
}

} // namespace Hornbeam
