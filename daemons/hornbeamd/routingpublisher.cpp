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

// Upper bound of the time between the expiry of a quarantine or a suspicion and its release.
constexpr auto quarantineCheckPeriod = std::chrono::seconds(1);

bool precedes(const Target &a, const Target &b)
{
    return a.service != b.service ? a.service < b.service : a.address < b.address;
}

} // namespace

RoutingPublisher::RoutingPublisher(RoutingPublisherDependencies dependencies)
    : m_dependencies(dependencies)
{
}

void RoutingPublisher::start(ProxyServer &proxy)
{
    m_proxy = &proxy;
    m_dependencies.configuration.subscribe([this](const SnapshotPtr &) { update(); });
    m_dependencies.members.subscribe([this](const MemberPtr &before, const MemberPtr &after) {
        const bool wasLive = before && before->state <= MemberState::Suspect;
        const bool isLive = after && after->state <= MemberState::Suspect;
        if (wasLive != isLive || (isLive && before->targets != after->targets)) {
            update();
        }
    });
    m_quarantineTimer = m_dependencies.timers.every(quarantineCheckPeriod, [this] {
        const auto now = m_dependencies.timers.now();
        if (m_dependencies.quarantine.quarantined(now) != m_publishedQuarantine
            || m_dependencies.quarantine.suspects(now) != m_publishedSuspects) {
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

void RoutingPublisher::setVersionRules(std::function<std::vector<VersionRule>(const std::vector<Target> &)> rules)
{
    m_versionRules = std::move(rules);
}

void RoutingPublisher::update()
{
    if (m_publicationPending) {
        return;
    }
    m_publicationPending = true;
    m_dependencies.executor.post([this] { publish(); });
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
    m_publicationPending = false;
    const auto state = build();
    m_publishedQuarantine = state->quarantined;
    m_publishedSuspects = state->suspects;
    m_proxy->publish(state);
}

RoutingStatePtr RoutingPublisher::build()
{
    auto state = std::make_shared<RoutingState>();
    state->snapshot = m_dependencies.configuration.current();
    state->ready = m_ready;
    state->quarantined = m_dependencies.quarantine.quarantined(m_dependencies.timers.now());
    state->suspects = m_dependencies.quarantine.suspects(m_dependencies.timers.now());
    const auto acceptsRequests = [&](const Target &target) {
        return target.state == TargetState::Serving && !state->snapshot->isLeaving(target.address);
    };
    const auto members = m_dependencies.members.liveMembers();
    for (const auto &listed : *members) {
        std::copy_if(listed.member->targets.begin(),
                     listed.member->targets.end(),
                     std::back_inserter(state->targets),
                     acceptsRequests);
    }
    if (m_versionRules) {
        std::vector<Target> known;
        for (const auto &listed : *members) {
            known.insert(known.end(), listed.member->targets.begin(), listed.member->targets.end());
        }
        state->versions = m_versionRules(known);
    }
    state->nodes = std::max<std::size_t>(members->size(), 1);
    std::copy_if(m_ownTargets.begin(), m_ownTargets.end(), std::back_inserter(state->localTargets), acceptsRequests);
    std::sort(state->targets.begin(), state->targets.end(), precedes);
    return state;
}

} // namespace Hornbeam
