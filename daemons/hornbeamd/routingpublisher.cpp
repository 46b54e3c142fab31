#include "routingpublisher.h"

#include <hornbeam/base/executor.h>
#include <hornbeam/dissemination/snapshotholder.h>
#include <hornbeam/membership/membershiptable.h>
#include <hornbeam/proxy/crashquarantine.h>
#include <hornbeam/proxy/proxyserver.h>

#include <algorithm>
#include <iterator>

namespace Hornbeam {

namespace {

// Expired quarantines are released with this delay at most.
constexpr auto quarantineCheckPeriod = std::chrono::seconds(1);

bool precedes(const Target &a, const Target &b)
{
    return a.service != b.service ? a.service < b.service : a.address < b.address;
}

} // namespace

RoutingPublisher::RoutingPublisher(RoutingPublisherDependencies dependencies)
    : m_parts(dependencies)
{
}

void RoutingPublisher::start(ProxyServer &proxy)
{
    m_proxy = &proxy;
    m_parts.configuration.subscribe([this](const SnapshotPtr &) { update(); });
    m_parts.members.subscribe([this](const MemberPtr &before, const MemberPtr &after) {
        const bool wasLive = before && before->state <= MemberState::Suspect;
        const bool isLive = after && after->state <= MemberState::Suspect;
        if (wasLive != isLive || (isLive && before->targets != after->targets)) {
            update();
        }
    });
    m_quarantineTimer = m_parts.timers.every(quarantineCheckPeriod, [this] {
        if (m_parts.quarantine.quarantined(m_parts.timers.now()) != m_publishedQuarantine) {
            update();
        }
    });
    update();
}

void RoutingPublisher::setOwnTargets(std::vector<Target> targets)
{
    m_ownTargets = std::move(targets);
    update();
}

void RoutingPublisher::update()
{
    if (m_pending) {
        return;
    }
    m_pending = true;
    m_parts.executor.post([this] { publish(); });
}

void RoutingPublisher::setReady()
{
    if (!m_ready) {
        m_ready = true;
        update();
    }
}

void RoutingPublisher::publish()
{
    m_pending = false;
    const auto state = build();
    m_publishedQuarantine = state->quarantined;
    m_proxy->publish(state);
}

RoutingStatePtr RoutingPublisher::build()
{
    auto state = std::make_shared<RoutingState>();
    state->snapshot = m_parts.configuration.current();
    state->ready = m_ready;
    state->quarantined = m_parts.quarantine.quarantined(m_parts.timers.now());
    const auto takesRequests = [&](const Target &target) {
        return target.state == TargetState::Serving && !state->snapshot->isLeaving(target.address);
    };
    const auto members = m_parts.members.liveMembers();
    for (const auto &listed : *members) {
        std::copy_if(listed.member->targets.begin(),
                     listed.member->targets.end(),
                     std::back_inserter(state->targets),
                     takesRequests);
    }
    state->nodes = std::max<std::size_t>(members->size(), 1);
    std::copy_if(m_ownTargets.begin(), m_ownTargets.end(), std::back_inserter(state->localTargets), takesRequests);
    std::sort(state->targets.begin(), state->targets.end(), precedes);
    return state;
}

} // namespace Hornbeam
