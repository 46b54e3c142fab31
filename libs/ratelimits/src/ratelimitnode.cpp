#include <hornbeam/ratelimits/ratelimitnode.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

/** Reports without an answer after which a coordinator is replaced; with 2.5% loss each way, one in 8,000 by chance. */
constexpr int maxUnanswered = 3;

/** Reports without an answer after which the node limits itself to its own share until the next answer. */
constexpr int unansweredForOwnShare = 2;

constexpr auto avoidTime = 5s;

/** A node receives the answer to a probe of its own each second, and probes of others. */
constexpr auto hearingTimeout = 1500ms;

/** What a node decides as its own coordinator counts as agreed if it has heard another member within this time. */
constexpr auto agreementTimeout = 500ms;

/** Further members of a zone that are tried as coordinators while none is heard from. */
constexpr std::size_t spareCoordinators = 3;
constexpr std::size_t nodesPerCoordinator = 64;

/** A coordinator forgets a node without reports after 60 s; the node starts a new session before. */
constexpr auto sessionIdleTime = 30s;

/** Time for which the size of the zone is remembered; the membership forgets failed nodes then, too. */
constexpr auto zoneSizeLifetime = 10min;

std::size_t coordinatorCount(std::size_t nodes)
{
    return 1 + (nodes - 1) / nodesPerCoordinator;
}

} // namespace

RateLimitNode::RateLimitNode(RateLimitNodeOptions options, AccountLimiter &limiter, RateLimitEvents &events, Send send)
    : m_options(std::move(options))
    , m_limiter(limiter)
    , m_events(events)
    , m_send(std::move(send))
    , m_coordinator(m_options.zone,
                    [this](const std::string &account, bool limited) { m_events.accountLimited(account, limited); })
{
}

void RateLimitNode::setLimits(const std::vector<AccountLimit> &limits, TimePoint now)
{
    if (m_limits == limits) {
        return;
    }
    m_limits = limits;
    m_limiter.setLimits(limits, now);
    m_coordinator.setLimits(limits, now);
}

void RateLimitNode::setMembers(std::vector<RateLimitMember> members, TimePoint now)
{
    std::sort(members.begin(), members.end());
    m_zones.clear();
    m_memberCount = members.size();
    m_largestMemberCount = std::max(m_largestMemberCount, m_memberCount);
    m_limiter.setNodeCount(std::max(m_largestMemberCount, m_expectedNodes));
    for (auto &it : members) {
        m_zones[it.zone].push_back(std::move(it));
    }
    const auto zoneSize = m_zones[m_options.zone].size();
    if (zoneSize >= m_recentZoneSize || now - m_recentZoneTime > zoneSizeLifetime) {
        m_recentZoneSize = zoneSize;
        m_recentZoneTime = now;
    }
    std::vector<std::string> zones;
    for (const auto &[zone, zoneMembers] : m_zones) {
        zones.push_back(zone);
    }
    m_coordinator.setZones(zones, now);
}

void RateLimitNode::setExpectedNodes(std::size_t count)
{
    m_expectedNodes = std::max<std::size_t>(count, 1);
    m_limiter.setNodeCount(std::max(m_largestMemberCount, m_expectedNodes));
}

void RateLimitNode::memberHeard(TimePoint now)
{
    m_lastHeard = now;
}

void RateLimitNode::tick(TimePoint now)
{
    if (m_limits.empty()) {
        return;
    }
    std::erase_if(m_avoided, [now](const auto &it) { return it.second <= now; });
    if (!mayCoordinate(now)) {
        m_coordinator.deactivate();
    }
    chooseCoordinator(now, false);
    if (m_limiter.hasReport()) {
        report(now);
    }
    if (m_coordinator.isActive(now)) {
        sync(now);
        notifyQuietNodes(now);
    }
}

bool RateLimitNode::receive(const std::string &member, std::string_view bytes, TimePoint now)
{
    const auto message = decodeLimitMessage(bytes);
    if (!message) {
        return false;
    }
    memberHeard(now);
    if (m_limits.empty()) {
        return true;
    }
    if (const auto *it = std::get_if<LimitReport>(&*message)) {
        const auto status = mayCoordinate(now) ? m_coordinator.receiveReport(member, *it, now) : std::nullopt;
        if (status) {
            m_send(member, encode(*status));
        }
    } else if (const auto *it = std::get_if<LimitStatus>(&*message)) {
        if (member == m_reportsTo) {
            answered(*it, now);
        }
    } else if (const auto *it = std::get_if<LimitSync>(&*message)) {
        m_coordinator.receiveSync(member, *it, now);
        if (it->active && !m_coordinator.isActive(now)) {
            m_send(member, encode(m_coordinator.makeSyncs(now).front()));
        }
    }
    return true;
}

std::vector<std::string> RateLimitNode::candidates() const
{
    const auto zone = m_zones.find(m_options.zone);
    std::vector<std::string> ids;
    if (zone == m_zones.end() || zone->second.empty()) {
        return ids;
    }
    std::uint64_t ownHash = 0;
    for (const auto &it : zone->second) {
        ids.push_back(it.id);
        ownHash = it.id == m_options.id ? it.hash : ownHash;
    }
    const auto count = coordinatorCount(ids.size());
    const auto first = static_cast<std::ptrdiff_t>(ownHash % count);
    std::rotate(ids.begin(), ids.begin() + first, ids.begin() + static_cast<std::ptrdiff_t>(count));
    // If none of these answers, the node is more likely to be cut off than to be the next coordinator.
    ids.resize(std::min(ids.size(), count + spareCoordinators));
    return ids;
}

bool RateLimitNode::mayCoordinate(TimePoint now) const
{
    // A node that is cut off alone would, as a coordinator, spend the part of its whole zone. It hears nobody, and
    // later it sees neither another zone nor half of its own. After a start, it sees few of the nodes that are
    // registered.
    const bool heard = m_memberCount <= 1 || now - m_lastHeard < hearingTimeout;
    if (!heard || m_largestMemberCount * 2 < m_expectedNodes) {
        return false;
    }
    const auto zone = m_zones.find(m_options.zone);
    const auto zoneSize = zone != m_zones.end() ? zone->second.size() : 0;
    return m_memberCount > zoneSize || zoneSize * 2 >= m_recentZoneSize || now - m_recentZoneTime > zoneSizeLifetime;
}

void RateLimitNode::chooseCoordinator(TimePoint now, bool previousSilent)
{
    const auto ids = candidates();
    auto chosen = std::find_if(ids.begin(), ids.end(), [this, now](const std::string &id) {
        return m_avoided.count(id) == 0 && (id != m_options.id || mayCoordinate(now));
    });
    if (chosen == ids.end()) {
        m_avoided.clear();
        chosen = std::find_if(ids.begin(), ids.end(), [this](const std::string &id) { return id != m_options.id; });
    }
    const std::string id = chosen != ids.end() ? *chosen : std::string();
    if (id == m_reportsTo) {
        return;
    }
    m_reportsTo = id;
    m_unanswered = 0;
    m_lastReport = now;
    m_limiter.startSession();
    m_events.coordinatorChanged(id, previousSilent);
}

void RateLimitNode::report(TimePoint now)
{
    if (m_unanswered >= unansweredForOwnShare && !m_limiter.usesOwnShare()) {
        m_limiter.useOwnShare(now);
        m_events.ownShareUsed(true);
    }
    if (m_unanswered >= maxUnanswered) {
        coordinatorSilent(now);
    }
    if (now - m_lastReport > sessionIdleTime) {
        m_limiter.startSession();
    }
    m_lastReport = now;
    ++m_unanswered;
    for (const auto &it : m_limiter.makeReports()) {
        if (m_reportsTo == m_options.id) {
            const auto status = m_coordinator.receiveReport(m_options.id, it, now);
            if (status) {
                answered(*status, now);
            }
        } else if (!m_reportsTo.empty()) {
            m_send(m_reportsTo, encode(it));
        }
    }
}

void RateLimitNode::coordinatorSilent(TimePoint now)
{
    m_unanswered = 0;
    if (!m_reportsTo.empty()) {
        m_avoided[m_reportsTo] = now + avoidTime;
    }
    chooseCoordinator(now, true);
}

void RateLimitNode::answered(const LimitStatus &status, TimePoint now)
{
    const bool ownShare = m_limiter.usesOwnShare();
    const bool agreed = m_reportsTo != m_options.id || m_memberCount <= 1 || now - m_lastHeard < agreementTimeout;
    if (!m_limiter.applyStatus(status, agreed, now)) {
        return;
    }
    m_unanswered = 0;
    if (ownShare) {
        m_events.ownShareUsed(false);
    }
}

void RateLimitNode::sync(TimePoint now)
{
    std::set<std::string> receivers;
    for (const auto &[zone, members] : m_zones) {
        if (members.empty()) {
            continue;
        }
        const auto spare = m_coordinator.isSilent(zone) ? spareCoordinators : 0;
        const auto count = std::min(members.size(), coordinatorCount(members.size()) + spare);
        for (std::size_t i = 0; i < count; ++i) {
            receivers.insert(members[i].id);
        }
    }
    for (auto &id : m_coordinator.activePeers(now)) {
        receivers.insert(std::move(id));
    }
    receivers.erase(m_options.id);
    for (const auto &it : m_coordinator.makeSyncs(now)) {
        const auto bytes = encode(it);
        for (const auto &receiver : receivers) {
            m_send(receiver, bytes);
        }
    }
}

void RateLimitNode::notifyQuietNodes(TimePoint now)
{
    const auto notice = m_coordinator.notice(now);
    const auto zone = m_zones.find(m_options.zone);
    if (notice.entries.empty() || zone == m_zones.end()) {
        return;
    }
    const auto &members = zone->second;
    const auto count = coordinatorCount(members.size());
    const auto bytes = encode(notice);
    for (const auto &it : members) {
        const auto heard = m_coordinator.lastReport(it.id);
        const bool isQuiet = !heard || now - *heard > 2 * tickPeriod;
        if (!isQuiet || members[it.hash % count].id != m_options.id) {
            continue;
        }
        if (it.id == m_options.id) {
            answered(notice, now);
        } else {
            m_send(it.id, bytes);
        }
    }
}

} // namespace Hornbeam
