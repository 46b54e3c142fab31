#include "adminfacade.h"

#include "routingpublisher.h"
#include "zonesummary.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/config/configsource.h>
#include <hornbeam/dissemination/disseminator.h>
#include <hornbeam/membership/membershiptable.h>
#include <hornbeam/membership/targetregistry.h>
#include <hornbeam/proxy/crashquarantine.h>
#include <hornbeam/proxy/proxyserver.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

// A rollout names a few of the nodes that are behind; all of a large fleet would not fit into a terminal.
constexpr std::size_t maxListedLaggards = 20;

const char *stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Failed:
        return "failed";
    case MemberState::Left:
        return "left";
    }
    return "alive";
}

nlohmann::json toJson(const Member &member)
{
    return {{"id", member.id},
            {"zone", member.zone},
            {"peerAddress", member.peerAddress.toString()},
            {"incarnation", member.incarnation},
            {"state", stateName(member.state)},
            {"configVersion", member.configVersion},
            {"storeWatcher", member.storeWatcher},
            {"targets", member.targets.size()}};
}

nlohmann::json toJson(const ZoneSummary &zone)
{
    return {{"zone", zone.zone},
            {"liveMembers", zone.liveMembers},
            {"failedMembers", zone.failedMembers},
            {"storeWatchers", zone.storeWatchers},
            {"unreachable", zone.unreachable()}};
}

/** A node that does not watch the store does not know whether it is reachable. */
nlohmann::json toJson(const ConfigSource &store)
{
    const auto reachable = store.watching() ? nlohmann::json(store.reachable()) : nlohmann::json();
    return {{"reachable", reachable}, {"watching", store.watching()}};
}

template <typename T>
bool containsSorted(const std::vector<T> &sorted, const T &value)
{
    return std::binary_search(sorted.begin(), sorted.end(), value);
}

} // namespace

AdminFacade::AdminFacade(AdminFacadeDependencies dependencies)
    : m_parts(std::move(dependencies))
    , m_plans(m_parts.store, *this, *this)
{
}

void AdminFacade::createPlan(Intent intent, std::function<void(Result<Plan>)> callback)
{
    m_plans.create(std::move(intent), std::move(callback));
}

void AdminFacade::readPlan(const std::string &id, std::function<void(Result<Plan>)> callback)
{
    m_plans.read(id, std::move(callback));
}

void AdminFacade::confirmPlan(const std::string &id, std::function<void(ConfirmResult)> callback)
{
    m_plans.confirm(id, [this, callback = std::move(callback)](ConfirmResult result) {
        if (result && result->snapshot) {
            m_parts.disseminator.offer(result->snapshot, OfferSource::Confirmed);
        }
        callback(std::move(result));
    });
}

SnapshotPtr AdminFacade::configuration() const
{
    return m_parts.configuration.current();
}

RolloutStatus AdminFacade::rollout(ConfigVersion version) const
{
    RolloutStatus status{.version = version};
    for (const auto &listed : *m_parts.members.liveMembers()) {
        const auto &member = *listed.member;
        const auto known = member.id == m_parts.id ? configuration()->version() : member.configVersion;
        ++status.knownNodes;
        if (known >= version) {
            ++status.nodesWithVersion;
        } else if (status.behind.size() < maxListedLaggards) {
            status.behind.push_back({.node = member.id, .zone = member.zone, .version = known});
        }
    }
    return status;
}

Result<Target> AdminFacade::announce(const Announcement &announcement)
{
    auto target = announcement.target;
    target.zone = m_parts.zone;
    target.gateway = m_parts.gateway;
    return m_parts.targets.announce(std::move(target), announcement.timeToLive, announcement.sequence);
}

Result<Target> AdminFacade::withdraw(const Endpoint &address)
{
    return m_parts.targets.withdraw(address);
}

Result<Target> AdminFacade::withdraw(const std::string &name, std::uint64_t lastInstance)
{
    return m_parts.targets.withdraw(name, lastInstance);
}

std::vector<Target> AdminFacade::knownTargets() const
{
    std::vector<Target> targets;
    for (const auto &listed : *m_parts.members.liveMembers()) {
        const auto &own = listed.member->targets;
        targets.insert(targets.end(), own.begin(), own.end());
    }
    return targets;
}

std::string AdminFacade::renderMetrics() const
{
    return m_parts.metrics.render();
}

std::string AdminFacade::dumpJson() const
{
    const auto allMembers = m_parts.members.allMembers();
    nlohmann::json members = nlohmann::json::array();
    for (const auto &listed : allMembers) {
        members.push_back(toJson(*listed.member));
    }
    nlohmann::json zones = nlohmann::json::array();
    for (const auto &zone : summariseZones(allMembers)) {
        zones.push_back(toJson(zone));
    }
    nlohmann::json quarantined = nlohmann::json::array();
    for (const auto &digest : m_parts.quarantine.quarantined(m_parts.timers.now())) {
        quarantined.push_back(digest.hex());
    }
    const auto snapshot = configuration();
    const nlohmann::json dump = {
        {"node", {{"id", m_parts.id}, {"zone", m_parts.zone}, {"ready", m_parts.publisher.ready()}}},
        {"config",
         {{"version", snapshot->version()},
          {"digest", snapshot->contentDigest().hex()},
          {"services", snapshot->services().size()},
          {"routes", snapshot->routes().size()},
          {"newestKnownVersion", newestKnownVersion()},
          {"lastRejection", m_parts.configuration.lastRejection()}}},
        {"store", toJson(m_parts.configSource)},
        {"zones", zones},
        {"members", members},
        {"quarantined", quarantined},
        {"proxy", nlohmann::json::parse(m_parts.proxy.dumpJson(), nullptr, false)}};
    return dump.dump(2);
}

HealthStatus AdminFacade::health() const
{
    if (m_stopping) {
        return {.ready = false, .reason = "the node stops"};
    }
    if (m_parts.publisher.ready()) {
        return {.ready = true, .reason = {}};
    }
    return {.ready = false, .reason = "the configuration floor is not known yet"};
}

SnapshotPtr AdminFacade::applied() const
{
    return configuration();
}

ConfigVersion AdminFacade::newestKnownVersion() const
{
    auto newest = configuration()->version();
    for (const auto &listed : *m_parts.members.liveMembers()) {
        newest = std::max<ConfigVersion>(newest, listed.member->configVersion);
    }
    return newest;
}

std::size_t AdminFacade::nodeCount() const
{
    return m_parts.members.liveMembers()->size();
}

std::size_t AdminFacade::targetCount(const std::vector<std::string> &services,
                                     const std::vector<Endpoint> &addresses) const
{
    const auto targets = knownTargets();
    return static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [&](const Target &target) {
        return containsSorted(services, target.service) || containsSorted(addresses, target.address);
    }));
}

} // namespace Hornbeam
