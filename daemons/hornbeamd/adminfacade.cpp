#include "adminfacade.h"

#include "rolloutagent.h"
#include "routingpublisher.h"
#include "zonesummary.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/config/configsource.h>
#include <hornbeam/directory/departurelog.h>
#include <hornbeam/dissemination/disseminator.h>
#include <hornbeam/membership/membershiptable.h>
#include <hornbeam/membership/targetregistry.h>
#include <hornbeam/proxy/crashquarantine.h>
#include <hornbeam/proxy/proxyserver.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

// A rollout status lists only some of the lagging nodes; those of a large fleet would not fit into a terminal.
constexpr std::size_t maxListedLaggingNodes = 20;

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

/** "reachable" is null on a node that does not watch the store, since it cannot tell. */
nlohmann::json toJson(const ConfigSource &source)
{
    const auto reachable = source.watching() ? nlohmann::json(source.reachable()) : nlohmann::json();
    return {{"reachable", reachable}, {"watching", source.watching()}};
}

template <typename T>
bool containsSorted(const std::vector<T> &sorted, const T &value)
{
    return std::binary_search(sorted.begin(), sorted.end(), value);
}

} // namespace

AdminFacade::AdminFacade(AdminFacadeDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_plans(m_dependencies.store, *this, *this)
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
            m_dependencies.disseminator.offer(result->snapshot, OfferSource::Confirmed);
        }
        callback(std::move(result));
    });
}

SnapshotPtr AdminFacade::configuration() const
{
    return m_dependencies.configuration.current();
}

RolloutStatus AdminFacade::rollout(ConfigVersion version) const
{
    RolloutStatus status{.version = version};
    for (const auto &listed : *m_dependencies.members.liveMembers()) {
        const auto &member = *listed.member;
        const auto known = member.id == m_dependencies.id ? configuration()->version() : member.configVersion;
        ++status.knownNodes;
        if (known >= version) {
            ++status.nodesWithVersion;
        } else if (status.behind.size() < maxListedLaggingNodes) {
            status.behind.push_back({.node = member.id, .zone = member.zone, .version = known});
        }
    }
    return status;
}

Result<Target> AdminFacade::announce(const Announcement &announcement)
{
    auto target = announcement.target;
    target.zone = m_dependencies.zone;
    target.gateway = m_dependencies.gateway;
    return m_dependencies.targets.announce(std::move(target), announcement.timeToLive, announcement.sequence);
}

Result<Target> AdminFacade::withdraw(const Endpoint &address)
{
    return m_dependencies.targets.withdraw(address);
}

Result<Target> AdminFacade::withdraw(const std::string &name, std::uint64_t lastInstance)
{
    return m_dependencies.targets.withdraw(name, lastInstance);
}

void AdminFacade::whenDeparturesRecorded(std::function<void()> recorded)
{
    if (m_dependencies.departures != nullptr) {
        m_dependencies.departures->whenRecorded(std::move(recorded));
    } else {
        recorded();
    }
}

std::vector<Target> AdminFacade::knownTargets() const
{
    std::vector<Target> targets;
    for (const auto &listed : *m_dependencies.members.liveMembers()) {
        const auto &memberTargets = listed.member->targets;
        targets.insert(targets.end(), memberTargets.begin(), memberTargets.end());
    }
    return targets;
}

std::string AdminFacade::renderMetrics() const
{
    return m_dependencies.metrics.render();
}

std::string AdminFacade::dumpJson() const
{
    const auto allMembers = m_dependencies.members.allMembers();
    nlohmann::json members = nlohmann::json::array();
    for (const auto &listed : allMembers) {
        members.push_back(toJson(*listed.member));
    }
    nlohmann::json zones = nlohmann::json::array();
    for (const auto &zone : summariseZones(allMembers)) {
        zones.push_back(toJson(zone));
    }
    nlohmann::json quarantined = nlohmann::json::array();
    for (const auto &digest : m_dependencies.quarantine.quarantined(m_dependencies.timers.now())) {
        quarantined.push_back(digest.hex());
    }
    const auto snapshot = configuration();
    const nlohmann::json dump = {
        {"node",
         {{"id", m_dependencies.id}, {"zone", m_dependencies.zone}, {"ready", m_dependencies.publisher.ready()}}},
        {"config",
         {{"version", snapshot->version()},
          {"digest", snapshot->contentDigest().hex()},
          {"services", snapshot->services().size()},
          {"routes", snapshot->routes().size()},
          {"newestKnownVersion", newestKnownVersion()},
          {"lastRejection", m_dependencies.configuration.lastRejection()}}},
        {"store", toJson(m_dependencies.configSource)},
        {"zones", zones},
        {"members", members},
        {"quarantined", quarantined},
        {"rollouts", nlohmann::json::parse(rolloutsJson(), nullptr, false)},
        {"proxy", nlohmann::json::parse(m_dependencies.proxy.dumpJson(), nullptr, false)}};
    return dump.dump(2);
}

std::string AdminFacade::rolloutsJson() const
{
    return m_dependencies.rollouts != nullptr ? m_dependencies.rollouts->dumpJson()
                                              : R"({"decider":false,"steps":[],"rules":[]})";
}

HealthStatus AdminFacade::health() const
{
    if (m_stopping) {
        return {.ready = false, .reason = "the node is shutting down"};
    }
    if (m_dependencies.publisher.ready()) {
        return {.ready = true, .reason = {}};
    }
    return {.ready = false, .reason = "the newest configuration or the versions in use are not known yet"};
}

SnapshotPtr AdminFacade::applied() const
{
    return configuration();
}

ConfigVersion AdminFacade::newestKnownVersion() const
{
    auto newest = configuration()->version();
    for (const auto &listed : *m_dependencies.members.liveMembers()) {
        newest = std::max<ConfigVersion>(newest, listed.member->configVersion);
    }
    return newest;
}

std::size_t AdminFacade::nodeCount() const
{
    return m_dependencies.members.liveMembers()->size();
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
