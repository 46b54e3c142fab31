#include <hornbeam/ratelimits/limitcoordinator.h>

#include "demandwindow.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

/**
 * Time in which what a bucket holds is spent, or what it lacks is saved. It is longer than the time between a request
 * and the share that results from it (two periods of 200 ms and the delays of the hosts); otherwise the share
 * oscillates.
 */
constexpr double correctionSeconds = 1;

/**
 * Without a message of an active coordinator for this long, a zone is silent. Three messages are lost by chance once in
 * 60,000 times at 2.5% loss; the zone's tokens are then set aside until the next one.
 */
constexpr auto silenceTimeout = 600ms;

/** Part of the difference to another coordinator's bucket that is made up for with each of its messages. */
constexpr double levelCorrection = 0.1;

/** Messages that two coordinators have sent to each other within this time may have crossed. */
constexpr auto crossingTime = 50ms;

/** A coordinator without reports for this long is not active. */
constexpr auto activeTimeout = 10s;

/** The demand that a coordinator has reported counts for this long; it is repeated every second. */
constexpr auto demandLifetime = 3s;

/** Time for which a silent zone without live nodes keeps its part; the membership forgets failed nodes then, too. */
constexpr auto zoneLifetime = 10min;
/**
 * A new coordinator does not answer nodes that have just started for this long, because it does not know the demand
 * yet. They keep to an equal share until then.
 */
constexpr auto learningTime = 300ms;

constexpr auto peerLifetime = 10min;
constexpr auto reporterLifetime = 60s;

/** Part of the limit that is divided by demand when a zone becomes silent; the rest is divided equally. */
constexpr double demandPart = 0.9;

/** Largest number of requests that an unknown sender's first message adds, in seconds of the rate. */
constexpr double firstMessageSeconds = 2;

/** First reports with a higher sequence number belong to a session whose start is unknown; they only set the counts. */
constexpr std::uint32_t firstSequences = 10;

/**
 * Nodes report to a new coordinator what they have spent since the previous one answered, about this long. What the
 * limit permits for this time is not missing from the empty bucket of the new coordinator.
 */
constexpr double takeoverSeconds = 0.8;
constexpr double reportSeconds = 0.2; ///< Period of the reports.

constexpr auto syncPeriod = 1s; ///< Of sums that change little.
constexpr double urgentSpend = 0.05; ///< Part of the burst above which a change is reported immediately.

/** Requests beyond the burst that are not refused, because a small account's demand can't be told from chance. */
constexpr double tolerance = 5;

/**
 * Part of the burst that an account above its limit does not get, so that what nodes spend before they know of a fault
 * stays within the terms. It is a sixtieth of what the account may have in 5 s with a burst of one second.
 */
constexpr double heldBack = 0.1;

constexpr auto calmTime = 5s;
constexpr auto zonePartsPeriod = 100ms;

/** Smooths the parts of the zones over about four seconds: a small account has few requests in one window. */
constexpr double partsGain = 0.05;

/** Limits the time for which an account is excluded after a wrong count. */
constexpr double maxDebtSeconds = 2;

double capacity(const AccountLimit &limit)
{
    return std::max(1.0, limit.burst);
}

} // namespace

class LimitCoordinator::Impl
{
public:
    Impl(std::string zone, LimitingListener listener)
        : m_zone(std::move(zone))
        , m_listener(std::move(listener))
    {
    }

    void setLimits(const std::vector<AccountLimit> &limits, TimePoint now);
    void setZones(const std::vector<std::string> &zones, TimePoint now);
    std::optional<LimitStatus> receiveReport(const std::string &node, const LimitReport &report, TimePoint now);
    LimitStatus notice(TimePoint now);
    std::optional<TimePoint> lastReport(const std::string &node) const;
    void receiveSync(const std::string &coordinator, const LimitSync &sync, TimePoint now);
    void deactivate();
    bool isActive(TimePoint now) const;
    std::vector<LimitSync> makeSyncs(TimePoint now);
    std::vector<std::string> activePeers(TimePoint now) const;
    std::size_t silentZones() const;
    bool isSilent(const std::string &zone) const;
    std::size_t limitedAccounts() const;

private:
    struct Account
    {
        AccountLimit limit;
        double takeover = 0; ///< Tokens of the time without a coordinator that are left for what was spent in it.
        double level = 0; ///< Of the bucket over all nodes; negative after more was spent than the limit permits.
        TimePoint updated;
        DemandWindow asked; ///< Of the nodes that report here, like the next two.
        DemandWindow admitted;
        DemandWindow returned;
        std::int64_t spent = 0;
        std::int64_t syncedSpent = 0;
        double syncedDemand = 0;
        TimePoint synced;
        TimePoint changed;
        bool limited = false;
        TimePoint lastLimited;
    };

    struct Reporter
    {
        std::uint32_t session = 0;
        std::uint32_t sequence = 0;
        TimePoint heard;
        std::map<AccountKey, AccountCounts> counts;
    };

    struct PeerAccount
    {
        std::int64_t spent = 0;
        double demand = 0;
        TimePoint updated;
    };

    struct Peer
    {
        std::string zone;
        std::uint32_t sequence = 0;
        TimePoint heard;
        std::uint32_t ageMilliseconds = 0;
        bool active = false;
        bool introduced = false; ///< A message has arrived since this coordinator became active.
        bool counted = false; ///< What it spent before the first message is counted here.
        std::map<AccountKey, PeerAccount> accounts;
    };

    struct Zone
    {
        TimePoint known; ///< Time at which the zone was last among those with live nodes.
        std::optional<TimePoint> heard; ///< Last message of an active coordinator.
        std::optional<TimePoint> heardIdle; ///< Last message of one that is not active.
        TimePoint partsUpdated;
        bool silent = true;
        TimePoint returned; ///< Time of the first message after a silence.
        std::map<AccountKey, double> parts; ///< Part of each limit that the zone keeps while it is silent.
        std::map<AccountKey, double> reserved; ///< Tokens that were taken for it while it was silent.
    };

    void activate(TimePoint now);
    void update(TimePoint now);
    void updateZone(Zone &zone, TimePoint now);
    void refill(AccountKey key, Account &account, TimePoint now);
    void spend(Account &account, double tokens) const;
    void updateParts(Zone &zone, const std::string &name, TimePoint now);
    void forget(TimePoint now);
    double partOf(const Zone &zone, AccountKey key) const;
    double reachablePart(AccountKey key) const;
    double ownDemand(Account &account, TimePoint now) const;
    double peerDemand(AccountKey key, const std::string *zone, TimePoint now) const;
    double share(AccountKey key, Account &account, TimePoint now);
    void setLimited(Account &account, bool limited, TimePoint now);
    bool isSyncDue(const Account &account, double demand, TimePoint now) const;

    const std::string m_zone;
    const LimitingListener m_listener;
    std::map<AccountKey, Account> m_accounts;
    std::map<std::string, Reporter> m_reporters;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, Zone> m_zones; ///< Without the own one.
    std::optional<TimePoint> m_activeSince; ///< Time of the first report after a time without any.
    TimePoint m_lastReport;
    TimePoint m_lastForget;
    std::uint32_t m_sequence = 0;
};

void LimitCoordinator::Impl::setLimits(const std::vector<AccountLimit> &limits, TimePoint now)
{
    update(now);
    std::map<AccountKey, Account> accounts;
    for (const auto &limit : limits) {
        if (limit.ratePerSecond <= 0) {
            continue;
        }
        const auto key = accountKey(limit.name);
        Account account;
        const auto known = m_accounts.find(key);
        if (known != m_accounts.end()) {
            account = known->second;
            refill(key, account, now);
        } else {
            account.updated = now;
        }
        account.limit = limit;
        account.level = std::min(account.level, capacity(limit));
        accounts.emplace(key, std::move(account));
    }
    m_accounts = std::move(accounts);
}

void LimitCoordinator::Impl::setZones(const std::vector<std::string> &zones, TimePoint now)
{
    update(now);
    for (const auto &name : zones) {
        if (name != m_zone) {
            m_zones[name].known = now;
        }
    }
    std::erase_if(m_zones, [&zones, now](const auto &it) {
        const bool live = std::find(zones.begin(), zones.end(), it.first) != zones.end();
        return !live && it.second.known + zoneLifetime < now;
    });
}

std::optional<LimitStatus> LimitCoordinator::Impl::receiveReport(const std::string &node,
                                                                 const LimitReport &report,
                                                                 TimePoint now)
{
    update(now);
    auto &reporter = m_reporters[node];
    const bool newSession = reporter.session != report.session;
    if (report.session < reporter.session || (!newSession && report.sequence <= reporter.sequence)) {
        return std::nullopt;
    }
    if (newSession) {
        reporter.counts.clear();
    }
    const bool onlySetCounts = newSession && report.sequence > firstSequences;
    reporter.session = report.session;
    reporter.sequence = report.sequence;
    reporter.heard = now;
    if (!isActive(now)) {
        activate(now);
    }
    m_lastReport = now;
    // A node that has just started has no counts of the time without a coordinator.
    const bool takesOver = newSession && report.session > 1 && now - *m_activeSince < silenceTimeout;
    for (const auto &entry : report.entries) {
        const auto it = m_accounts.find(entry.account);
        if (it == m_accounts.end()) {
            continue;
        }
        auto &account = it->second;
        const auto before = std::exchange(reporter.counts[entry.account], entry.counts);
        if (onlySetCounts) {
            continue;
        }
        const auto difference = [](std::uint64_t later, std::uint64_t earlier) {
            return static_cast<double>(static_cast<std::int64_t>(later - earlier));
        };
        const double admitted = difference(entry.counts.admitted, before.admitted);
        const double returned = difference(entry.counts.returned, before.returned);
        const double asked = difference(entry.counts.asked, before.asked);
        account.asked.add(takesOver ? asked * reportSeconds / takeoverSeconds : asked, now);
        account.admitted.add(admitted, now);
        account.returned.add(returned, now);
        account.spent += std::llround(admitted - returned);
        account.changed = now;
        refill(entry.account, account, now);
        const double spent = admitted - returned;
        const double covered = takesOver ? std::clamp(spent, 0.0, account.takeover) : 0;
        account.takeover -= covered;
        spend(account, spent - covered);
    }
    if (report.session == 1 && now - *m_activeSince < learningTime) {
        return std::nullopt;
    }
    auto status = notice(now);
    status.session = report.session;
    status.sequence = report.sequence;
    return status;
}

void LimitCoordinator::Impl::activate(TimePoint now)
{
    m_activeSince = now;
    for (auto &[id, peer] : m_peers) {
        peer.introduced = false;
        peer.accounts.clear();
    }
    for (auto &[name, zone] : m_zones) {
        const auto known = zone.known;
        zone = {};
        zone.known = known;
    }
    for (auto &[key, account] : m_accounts) {
        account.updated = now;
        account.level = 0;
        account.spent = 0;
        account.takeover = takeoverSeconds * account.limit.ratePerSecond * reachablePart(key);
    }
}

LimitStatus LimitCoordinator::Impl::notice(TimePoint now)
{
    update(now);
    LimitStatus status;
    for (auto &[key, account] : m_accounts) {
        const double part = share(key, account, now);
        setLimited(account, part < 1, now);
        if (part < 1 && status.entries.size() < maxAccountsPerMessage) {
            status.entries.push_back({.account = key, .share = part});
        }
    }
    return status;
}

std::optional<TimePoint> LimitCoordinator::Impl::lastReport(const std::string &node) const
{
    const auto it = m_reporters.find(node);
    return it != m_reporters.end() ? std::optional(it->second.heard) : std::nullopt;
}

void LimitCoordinator::Impl::receiveSync(const std::string &coordinator, const LimitSync &sync, TimePoint now)
{
    update(now);
    auto &peer = m_peers[coordinator];
    if (peer.sequence >= sync.sequence && peer.sequence != 0) {
        return;
    }
    if (sync.ageMilliseconds < peer.ageMilliseconds) {
        peer.introduced = false; // It has become active again and counts from 0.
    }
    peer.zone = sync.zone;
    peer.sequence = sync.sequence;
    peer.ageMilliseconds = sync.ageMilliseconds;
    peer.heard = now;
    peer.active = sync.active;
    if (!isActive(now)) {
        return;
    }
    Zone *zone = nullptr;
    if (sync.zone != m_zone) {
        zone = &m_zones[sync.zone];
        (sync.active ? zone->heard : zone->heardIdle) = now;
    }
    if (!std::exchange(peer.introduced, true)) {
        // What a coordinator spent before this one became active is not missing from the buckets here.
        peer.counted = now - *m_activeSince >= std::chrono::milliseconds(sync.ageMilliseconds);
        peer.accounts.clear();
        if (!peer.counted && zone != nullptr) {
            zone->reserved.clear();
        }
    }
    for (const auto &entry : sync.entries) {
        const auto it = m_accounts.find(entry.account);
        if (it == m_accounts.end()) {
            continue;
        }
        auto &account = it->second;
        const auto [known, isNew] = peer.accounts.try_emplace(entry.account);
        auto spent = static_cast<double>(entry.spent - known->second.spent);
        if (isNew) {
            spent = peer.counted ? std::min(spent, firstMessageSeconds * account.limit.ratePerSecond) : 0;
        }
        known->second = {.spent = entry.spent, .demand = entry.demand, .updated = now};
        if (zone != nullptr) {
            auto &reserved = zone->reserved[entry.account];
            const double covered = std::clamp(spent, 0.0, reserved);
            reserved -= covered;
            spent -= covered;
        }
        refill(entry.account, account, now);
        spend(account, spent);
        if (sync.complete && silentZones() == 0 && now - account.synced > crossingTime) {
            // Coordinators that have started at different times would otherwise keep different shares. The sender does
            // not know yet what has been spent here since the last message.
            const auto unsynced = static_cast<double>(account.spent - account.syncedSpent);
            spend(account, levelCorrection * (account.level + unsynced - static_cast<double>(entry.level)));
        }
    }
    if (zone != nullptr) {
        updateZone(*zone, now);
        updateParts(*zone, sync.zone, now);
    }
}

void LimitCoordinator::Impl::deactivate()
{
    m_activeSince.reset();
}

bool LimitCoordinator::Impl::isActive(TimePoint now) const
{
    return m_activeSince && now - m_lastReport < activeTimeout;
}

std::vector<LimitSync> LimitCoordinator::Impl::makeSyncs(TimePoint now)
{
    update(now);
    LimitSync header{.active = isActive(now), .complete = silentZones() == 0, .zone = m_zone, .entries = {}};
    if (m_activeSince) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_activeSince);
        header.ageMilliseconds = static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), UINT32_MAX));
    }
    std::vector<LimitSync> syncs{header};
    for (auto &[key, account] : m_accounts) {
        const double demand = ownDemand(account, now);
        if (!header.active || !isSyncDue(account, demand, now)) {
            continue;
        }
        if (syncs.back().entries.size() == maxAccountsPerMessage) {
            syncs.push_back(header);
        }
        syncs.back().entries.push_back(
            {.account = key, .spent = account.spent, .demand = demand, .level = std::llround(account.level)});
        account.synced = now;
        account.syncedSpent = account.spent;
        account.syncedDemand = demand;
    }
    for (auto &sync : syncs) {
        sync.sequence = ++m_sequence;
    }
    return syncs;
}

bool LimitCoordinator::Impl::isSyncDue(const Account &account, double demand, TimePoint now) const
{
    const auto unsent = static_cast<double>(std::abs(account.spent - account.syncedSpent));
    const double demandChange = std::abs(demand - account.syncedDemand);
    if (account.limited || unsent >= std::max(1.0, urgentSpend * capacity(account.limit))
        || demandChange > account.limit.ratePerSecond / 4) {
        return true;
    }
    const bool recent = demand > 0 || demandChange > 0 || now - account.changed < demandLifetime;
    return recent && now - account.synced >= syncPeriod;
}

std::vector<std::string> LimitCoordinator::Impl::activePeers(TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, peer] : m_peers) {
        if (peer.active && now - peer.heard < 2 * silenceTimeout) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::size_t LimitCoordinator::Impl::silentZones() const
{
    return static_cast<std::size_t>(
        std::count_if(m_zones.begin(), m_zones.end(), [](const auto &it) { return it.second.silent; }));
}

bool LimitCoordinator::Impl::isSilent(const std::string &zone) const
{
    const auto it = m_zones.find(zone);
    return it != m_zones.end() && it->second.silent;
}

std::size_t LimitCoordinator::Impl::limitedAccounts() const
{
    return static_cast<std::size_t>(
        std::count_if(m_accounts.begin(), m_accounts.end(), [](const auto &it) { return it.second.limited; }));
}

void LimitCoordinator::Impl::update(TimePoint now)
{
    for (auto &[name, zone] : m_zones) {
        updateZone(zone, now);
    }
    if (now - m_lastForget > 1s) {
        m_lastForget = now;
        forget(now);
    }
}

void LimitCoordinator::Impl::updateZone(Zone &zone, TimePoint now)
{
    const auto isRecent = [now](const std::optional<TimePoint> &time) {
        return time && now - *time < silenceTimeout;
    };
    // A node that is not active says nothing about one that is, and that may only be slow to answer.
    const bool idle = isRecent(zone.heardIdle) && (!zone.heard || now - *zone.heard > 5 * silenceTimeout);
    const bool silent = !isRecent(zone.heard) && !idle;
    if (silent == zone.silent) {
        return;
    }
    for (auto &[key, account] : m_accounts) {
        refill(key, account, now);
    }
    zone.silent = silent;
    if (!silent) {
        zone.returned = now;
        return;
    }
    zone.reserved.clear();
    for (auto &[key, account] : m_accounts) {
        // The zone may also have spent its part since it was last heard from, and its part of the tokens.
        const double part = partOf(zone, key);
        const double missed = Seconds(now - zone.heard.value_or(now)).count() * part * account.limit.ratePerSecond;
        const double tokens = part * std::max(0.0, account.level);
        zone.reserved[key] = missed + tokens;
        spend(account, missed + tokens);
    }
}

void LimitCoordinator::Impl::refill(AccountKey key, Account &account, TimePoint now)
{
    const double passed = Seconds(now - account.updated).count();
    if (passed <= 0) {
        return;
    }
    account.updated = now;
    const double rate = account.limit.ratePerSecond;
    for (auto &[name, zone] : m_zones) {
        if (zone.silent) {
            zone.reserved[key] += passed * rate * partOf(zone, key);
        }
    }
    const double part = reachablePart(key);
    account.level = std::min(account.level + passed * rate * part, capacity(account.limit) * part);
}

void LimitCoordinator::Impl::spend(Account &account, double tokens) const
{
    const double lowest = -(maxDebtSeconds * account.limit.ratePerSecond + capacity(account.limit));
    account.level = std::clamp(account.level - tokens, lowest, capacity(account.limit));
}

double LimitCoordinator::Impl::partOf(const Zone &zone, AccountKey key) const
{
    const auto it = zone.parts.find(key);
    return it != zone.parts.end() ? it->second : 1 / static_cast<double>(m_zones.size() + 1);
}

double LimitCoordinator::Impl::reachablePart(AccountKey key) const
{
    double part = 1;
    for (const auto &[name, zone] : m_zones) {
        if (zone.silent) {
            part -= partOf(zone, key);
        }
    }
    return std::max(0.0, part);
}

void LimitCoordinator::Impl::updateParts(Zone &zone, const std::string &name, TimePoint now)
{
    if (now - zone.partsUpdated < zonePartsPeriod) {
        return;
    }
    zone.partsUpdated = now;
    const double equal = 1 / static_cast<double>(m_zones.size() + 1);
    const bool knowsDemand = now - *m_activeSince > 2 * DemandWindow::length;
    for (auto &[key, account] : m_accounts) {
        const double total = ownDemand(account, now) + peerDemand(key, nullptr, now);
        const double part = total > 0 && knowsDemand
            ? demandPart * peerDemand(key, &name, now) / total + (1 - demandPart) * equal
            : equal;
        auto &smoothed = zone.parts.try_emplace(key, equal).first->second;
        smoothed += partsGain * (part - smoothed);
    }
}

void LimitCoordinator::Impl::forget(TimePoint now)
{
    std::erase_if(m_reporters, [now](const auto &it) { return now - it.second.heard > reporterLifetime; });
    std::erase_if(m_peers, [now](const auto &it) { return now - it.second.heard > peerLifetime; });
    for (auto &[name, zone] : m_zones) {
        if (zone.silent || now - zone.returned <= 2 * syncPeriod) {
            continue;
        }
        // All sums of the time of silence have arrived; what the zone has not spent of its part is available again.
        for (const auto &[key, tokens] : std::exchange(zone.reserved, {})) {
            const auto it = m_accounts.find(key);
            if (it != m_accounts.end()) {
                refill(key, it->second, now);
                spend(it->second, -tokens);
            }
        }
    }
}

double LimitCoordinator::Impl::ownDemand(Account &account, TimePoint now) const
{
    // Before the window has passed once, it does not contain the demand of its whole length.
    const double window = Seconds(DemandWindow::length).count();
    const double known = m_activeSince ? Seconds(now - *m_activeSince).count() + reportSeconds : window;
    const double asked = account.asked.ratePerSecond(now) * window / std::min(known, window);
    const double admitted = account.admitted.ratePerSecond(now);
    const double returned = account.returned.ratePerSecond(now);
    // Requests that are refused for other reasons need no token in the end.
    return admitted > 0 ? asked * std::clamp(1 - returned / admitted, 0.1, 1.0) : asked;
}

double LimitCoordinator::Impl::peerDemand(AccountKey key, const std::string *zone, TimePoint now) const
{
    double sum = 0;
    for (const auto &[id, peer] : m_peers) {
        const auto it = peer.accounts.find(key);
        const bool current = peer.active && now - peer.heard < silenceTimeout && it != peer.accounts.end()
            && now - it->second.updated < demandLifetime;
        if (current && (zone == nullptr || peer.zone == *zone)) {
            sum += it->second.demand;
        }
    }
    return sum;
}

double LimitCoordinator::Impl::share(AccountKey key, Account &account, TimePoint now)
{
    refill(key, account, now);
    const double window = Seconds(DemandWindow::length).count();
    const double requests = (ownDemand(account, now) + peerDemand(key, nullptr, now)) * window;
    // A few requests more than the mean of the window are no sign of a higher rate.
    const double demand = (requests - std::sqrt(std::max(0.0, requests))) / window;
    const double permitted = account.limit.ratePerSecond * reachablePart(key)
        + (account.level + tolerance - heldBack * account.limit.burst) / correctionSeconds;
    if (demand <= 0 || permitted >= demand) {
        return 1;
    }
    return std::max(0.0, permitted / demand);
}

void LimitCoordinator::Impl::setLimited(Account &account, bool limited, TimePoint now)
{
    if (limited) {
        account.lastLimited = now;
    }
    const bool state = limited || (account.limited && now - account.lastLimited < calmTime);
    if (std::exchange(account.limited, state) != state && m_listener) {
        m_listener(account.limit.name, state);
    }
}

LimitCoordinator::LimitCoordinator(std::string zone, LimitingListener listener)
    : m_impl(std::make_unique<Impl>(std::move(zone), std::move(listener)))
{
}

LimitCoordinator::~LimitCoordinator() = default;

void LimitCoordinator::setLimits(const std::vector<AccountLimit> &limits, TimePoint now)
{
    m_impl->setLimits(limits, now);
}

void LimitCoordinator::setZones(const std::vector<std::string> &zones, TimePoint now)
{
    m_impl->setZones(zones, now);
}

std::optional<LimitStatus> LimitCoordinator::receiveReport(const std::string &node,
                                                           const LimitReport &report,
                                                           TimePoint now)
{
    return m_impl->receiveReport(node, report, now);
}

LimitStatus LimitCoordinator::notice(TimePoint now)
{
    return m_impl->notice(now);
}

std::optional<TimePoint> LimitCoordinator::lastReport(const std::string &node) const
{
    return m_impl->lastReport(node);
}

void LimitCoordinator::receiveSync(const std::string &coordinator, const LimitSync &sync, TimePoint now)
{
    m_impl->receiveSync(coordinator, sync, now);
}

void LimitCoordinator::deactivate()
{
    m_impl->deactivate();
}

bool LimitCoordinator::isActive(TimePoint now) const
{
    return m_impl->isActive(now);
}

std::vector<LimitSync> LimitCoordinator::makeSyncs(TimePoint now)
{
    return m_impl->makeSyncs(now);
}

std::vector<std::string> LimitCoordinator::activePeers(TimePoint now) const
{
    return m_impl->activePeers(now);
}

std::size_t LimitCoordinator::silentZones() const
{
    return m_impl->silentZones();
}

bool LimitCoordinator::isSilent(const std::string &zone) const
{
    return m_impl->isSilent(zone);
}

std::size_t LimitCoordinator::limitedAccounts() const
{
    return m_impl->limitedAccounts();
}

} // namespace Hornbeam
