#include <hornbeam/ratelimits/accountlimiter.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Hornbeam {

namespace {

using Seconds = std::chrono::duration<double>;

/** Times over which the demand of an account on this node is averaged. */
constexpr double demandSeconds = 1;
constexpr double usualDemandSeconds = 5; ///< For accounts that are not limited, which may have few requests here.

/** Initial tokens, in seconds of the rate: a node that starts brings a token for its first requests, but no burst. */
constexpr double initialSeconds = 0.2;

/**
 * Part of the own share that follows the last agreed rate; the rest is an equal part for accounts that had no requests
 * here. A wrong number of nodes affects only that rest.
 */
constexpr double agreedPart = 0.9;

/**
 * An account that was not limited may exceed its last rate here by this factor. The time is short, or few nodes are cut
 * off alone.
 */
constexpr double calmHeadroom = 1.25;

/**
 * Coordinators in a row to which the same counts are reported if none answers. The reports of a node that receives no
 * answers may arrive, and each coordinator would count them again.
 */
constexpr int maxCarriedSessions = 2;

/** Capacity of the bucket of the own share, in seconds of its rate. */
constexpr double ownBucketSeconds = 0.5;

/** Tokens at the start of the own share, in standard deviations of the number of requests in the bucket's time. */
constexpr double initialDeviations = 3;
constexpr double initialOwnTokens = 4;

/** Callers rarely wait longer, and by then the limit may have room again. */
constexpr auto maxRetryAfter = std::chrono::seconds(5);
constexpr auto minRetryAfter = std::chrono::milliseconds(50);

/** Retry-After values are extended by up to this fraction, so that callers do not return at the same time. */
constexpr double retryJitter = 0.25;

/** Bounds the announced time of an account from which nothing is admitted at the moment. */
constexpr double minRetryRate = 0.1;

double capacity(const AccountLimit &limit)
{
    return std::max(1.0, limit.burst);
}

} // namespace

AccountLimiter::AccountLimiter(std::uint64_t randomSeed)
    : m_random(randomSeed)
{
}

void AccountLimiter::setLimits(const std::vector<AccountLimit> &limits, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, Account> accounts;
    for (const auto &limit : limits) {
        if (limit.ratePerSecond <= 0) {
            continue;
        }
        Account account;
        const auto known = m_accounts.find(limit.name);
        if (known != m_accounts.end()) {
            account = known->second;
            const double factor = std::min(1.0, limit.ratePerSecond / account.limit.ratePerSecond);
            account.ownRate *= factor;
            account.ownTokens *= factor;
            account.ownCapacity = std::max(1.0, account.ownCapacity * factor);
            account.agreedRate *= factor;
            account.tokens = std::min(account.tokens, capacity(limit));
        } else {
            account.key = accountKey(limit.name);
            account.tokens = std::min(capacity(limit), 1 + initialSeconds * limit.ratePerSecond);
            account.refilled = now;
            account.demandUpdated = now;
            account.credit = randomFraction();
            account.ownTokens = initialOwnTokens + randomFraction();
            account.ownCapacity = account.ownTokens;
        }
        account.limit = limit;
        if (m_ownShare && !m_answered) {
            account.ownRate = equalShare(account);
        }
        accounts.emplace(limit.name, std::move(account));
    }
    m_accounts = std::move(accounts);
}

LimitDecision AccountLimiter::admit(const std::string &name, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end()) {
        return {};
    }
    auto &account = it->second;
    account.usualDemand = usualDemand(account, now) + 1 / usualDemandSeconds;
    account.demand = currentDemand(account, now) + 1 / demandSeconds;
    account.demandUpdated = now;
    ++account.counts.asked;
    account.unreported = true;
    refill(account, now);
    if (!take(account)) {
        return {.admitted = false, .retryAfter = retryAfter(account, now)};
    }
    ++account.counts.admitted;
    return {};
}

void AccountLimiter::giveBack(const std::string &name, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end()) {
        return;
    }
    auto &account = it->second;
    refill(account, now);
    account.tokens = std::min(account.tokens + 1, capacity(account.limit));
    if (m_ownShare) {
        account.ownTokens += 1;
    } else if (account.share < 1) {
        account.credit += 1;
    }
    ++account.counts.returned;
    account.unreported = true;
}

bool AccountLimiter::hasReport() const
{
    const std::lock_guard lock(m_mutex);
    const bool starting = !m_answered && !m_accounts.empty();
    return starting || m_limiting || std::any_of(m_accounts.begin(), m_accounts.end(), [](const auto &it) {
               return it.second.unreported || it.second.unacknowledged;
           });
}

std::vector<LimitReport> AccountLimiter::makeReports()
{
    const std::lock_guard lock(m_mutex);
    std::vector<LimitReport> reports;
    for (auto &[name, account] : m_accounts) {
        if (!account.unreported && !account.unacknowledged) {
            continue;
        }
        if (reports.empty() || reports.back().entries.size() == maxAccountsPerMessage) {
            reports.push_back({.session = m_session, .sequence = ++m_sequence, .entries = {}});
        }
        reports.back().entries.push_back({.account = account.key, .counts = account.counts});
        account.lastButOne = std::exchange(account.last, {.sequence = m_sequence, .counts = account.counts});
        account.unreported = false;
        account.unacknowledged = true;
    }
    if (reports.empty()) {
        // The answer ends the share of a node that has just started, or tells that accounts need no limit any more.
        reports.push_back({.session = m_session, .sequence = ++m_sequence, .entries = {}});
    }
    return reports;
}

bool AccountLimiter::applyStatus(const LimitStatus &status, bool agreed, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool isNotice = status.session == 0;
    if (!isNotice && (status.session != m_session || status.sequence > m_sequence)) {
        return false;
    }
    std::map<AccountKey, double> shares;
    for (const auto &it : status.entries) {
        shares.emplace(it.account, it.share);
    }
    m_limiting = !status.entries.empty();
    m_answered = true;
    m_sessionAnswered = true;
    m_ownShare = false;
    for (auto &[name, account] : m_accounts) {
        if (!isNotice) {
            acknowledge(account, status.sequence);
        }
        const auto it = shares.find(account.key);
        account.share = it == shares.end() ? 1 : it->second;
        if (!agreed) {
            continue;
        }
        const double rate = account.share < 1 ? account.share * currentDemand(account, now) : usualDemand(account, now);
        account.agreedRate = std::min(rate, account.limit.ratePerSecond);
    }
    return true;
}

void AccountLimiter::acknowledge(Account &account, std::uint32_t sequence)
{
    if (sequence == account.last.sequence) {
        account.acknowledged = account.last.counts;
        account.unacknowledged = false;
    } else if (sequence == account.lastButOne.sequence) {
        account.acknowledged = account.lastButOne.counts;
    }
}

void AccountLimiter::startSession()
{
    const std::lock_guard lock(m_mutex);
    ++m_session;
    m_sequence = 0;
    m_unansweredSessions = m_sessionAnswered ? 0 : m_unansweredSessions + 1;
    m_sessionAnswered = false;
    for (auto &[name, account] : m_accounts) {
        if (m_unansweredSessions > maxCarriedSessions) {
            account.acknowledged = account.counts;
        }
        account.counts.asked -= account.acknowledged.asked;
        account.counts.admitted -= account.acknowledged.admitted;
        account.counts.returned -= account.acknowledged.returned;
        account.acknowledged = {};
        account.unreported = account.unreported || account.unacknowledged;
        account.unacknowledged = false;
        account.last = {};
        account.lastButOne = {};
    }
}

void AccountLimiter::setNodeCount(std::size_t nodes)
{
    const std::lock_guard lock(m_mutex);
    m_nodes = static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (m_ownShare && !m_answered) {
        for (auto &[name, account] : m_accounts) {
            account.ownRate = equalShare(account);
        }
    }
}

double AccountLimiter::equalShare(const Account &account) const
{
    return account.limit.ratePerSecond / m_nodes;
}

void AccountLimiter::useOwnShare(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_ownShare) {
        return;
    }
    m_ownShare = true;
    for (auto &[name, account] : m_accounts) {
        refill(account, now);
        const double agreed = account.agreedRate * (account.share < 1 ? 1 : calmHeadroom);
        account.ownRate = agreedPart * agreed + (1 - agreedPart) * equalShare(account);
        account.ownTokens = randomFraction();
        account.ownCapacity = std::max(1.0, ownBucketSeconds * account.ownRate);
        if (account.share == 1) {
            account.ownTokens += initialOwnTokens + initialDeviations * std::sqrt(agreed * ownBucketSeconds);
            account.ownCapacity = std::max(account.ownCapacity, account.ownTokens);
        }
    }
}

bool AccountLimiter::usesOwnShare() const
{
    const std::lock_guard lock(m_mutex);
    return m_ownShare;
}

double AccountLimiter::currentDemand(const Account &account, TimePoint now)
{
    const double passed = Seconds(now - account.demandUpdated).count();
    return account.demand * std::exp(-std::max(0.0, passed) / demandSeconds);
}

double AccountLimiter::usualDemand(const Account &account, TimePoint now)
{
    const double passed = Seconds(now - account.demandUpdated).count();
    return account.usualDemand * std::exp(-std::max(0.0, passed) / usualDemandSeconds);
}

void AccountLimiter::refill(Account &account, TimePoint now) const
{
    const double passed = Seconds(now - account.refilled).count();
    if (passed <= 0) {
        return;
    }
    account.refilled = now;
    account.tokens = std::min(account.tokens + passed * account.limit.ratePerSecond, capacity(account.limit));
    if (m_ownShare) {
        account.ownTokens = std::min(account.ownTokens + passed * account.ownRate, account.ownCapacity);
    }
}

bool AccountLimiter::take(Account &account)
{
    if (account.tokens < 1) {
        return false;
    }
    if (m_ownShare) {
        if (account.ownTokens < 1) {
            return false;
        }
        account.ownTokens -= 1;
    } else if (account.share < 1) {
        account.credit += account.share;
        if (account.credit < 1) {
            return false;
        }
        account.credit -= 1;
    }
    account.tokens -= 1;
    return true;
}

std::chrono::milliseconds AccountLimiter::retryAfter(Account &account, TimePoint now)
{
    double rate = account.limit.ratePerSecond;
    if (m_ownShare) {
        rate = account.ownRate;
    } else if (account.share < 1) {
        rate = std::min(rate, account.share * currentDemand(account, now));
    }
    const auto tokenTime = std::chrono::duration_cast<Duration>(Seconds(1 / std::max(rate, minRetryRate)));
    account.promised = std::min(std::max(account.promised, now) + tokenTime, now + maxRetryAfter);
    double wait = Seconds(account.promised - now).count();
    if (account.promised == now + maxRetryAfter) {
        wait *= 1 - randomFraction() / 2; // Without this, all callers that the queue has no place for return together.
    } else {
        wait *= 1 + retryJitter * randomFraction();
    }
    return std::max(minRetryAfter, std::chrono::duration_cast<std::chrono::milliseconds>(Seconds(wait)));
}

double AccountLimiter::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

} // namespace Hornbeam
