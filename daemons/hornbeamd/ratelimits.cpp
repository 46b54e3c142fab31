#include "ratelimits.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Hornbeam {

namespace {

/** A fleet-wide fault changes the coordinator of every node, and a configuration can have thousands of accounts. */
constexpr int maxLogLinesPerSecond = 10;

} // namespace

RateLimits::RateLimits(RateLimitNodeOptions options, RateLimitsDependencies dependencies)
    : m_dependencies(dependencies)
    , m_limiter(std::random_device()())
    , m_node(std::move(options),
             m_limiter,
             *this,
             [this](const std::string &member, const std::string &bytes) {
                 m_messages.add();
                 m_dependencies.detector.sendPayload(member, PayloadKind::RateLimits, bytes);
             })
    , m_messages(dependencies.metrics.counter("hornbeam_ratelimit_messages_sent_total",
                                              "Messages of the rate limits that were sent to other nodes."))
    , m_invalid(dependencies.metrics.counter("hornbeam_ratelimit_invalid_messages_total",
                                             "Messages of the rate limits that were malformed or out of range."))
    , m_changes(dependencies.metrics.counter("hornbeam_ratelimit_coordinator_changes_total",
                                             "Times that this node has begun to report to another coordinator."))
    , m_silent(dependencies.metrics.counter("hornbeam_ratelimit_silent_coordinators_total",
                                            "Coordinators that this node has replaced because they did not answer."))
    , m_ownShare(dependencies.metrics.gauge("hornbeam_ratelimit_own_share",
                                            "Whether no coordinator answers, so that the node keeps to its own share."))
    , m_limitedAccounts(dependencies.metrics.gauge("hornbeam_ratelimit_limited_accounts",
                                                   "Accounts that the coordinator on this node limits."))
    , m_silentZones(dependencies.metrics.gauge("hornbeam_ratelimit_silent_zones",
                                               "Zones whose part the coordinator on this node sets aside."))
{
}

RequestLimiter::Decision RateLimits::admit(const std::string &account, TimePoint now)
{
    const auto decision = m_limiter.admit(account, now);
    return {.admitted = decision.admitted, .retryAfter = decision.retryAfter};
}

void RateLimits::giveBack(const std::string &account, TimePoint now)
{
    m_limiter.giveBack(account, now);
}

void RateLimits::setLimits(std::vector<AccountLimit> limits)
{
    std::erase_if(limits, [](const AccountLimit &limit) { return limit.ratePerSecond <= 0; });
    m_enabled = !limits.empty();
    m_node.setLimits(limits, m_dependencies.timers.now());
    if (!m_enabled) {
        m_timer.reset();
    } else if (!m_timer) {
        m_timer = m_dependencies.timers.every(RateLimitNode::tickPeriod, [this] { tick(); });
    }
}

void RateLimits::setExpectedNodes(std::size_t count)
{
    m_node.setExpectedNodes(count);
}

void RateLimits::membersChanged()
{
    m_membersChanged = true;
}

void RateLimits::memberHeard()
{
    m_node.memberHeard(m_dependencies.timers.now());
}

void RateLimits::receive(const Payload &payload)
{
    if (payload.kind != PayloadKind::RateLimits) {
        return;
    }
    updateMembers();
    if (!m_node.receive(payload.sender, payload.content, m_dependencies.timers.now())) {
        m_invalid.add();
    }
}

void RateLimits::tick()
{
    updateMembers();
    m_node.tick(m_dependencies.timers.now());
    m_limitedAccounts.set(static_cast<std::int64_t>(m_node.coordinator().limitedAccounts()));
    const bool coordinates = m_node.coordinator().isActive(m_dependencies.timers.now());
    m_silentZones.set(coordinates ? static_cast<std::int64_t>(m_node.coordinator().silentZones()) : 0);
}

void RateLimits::updateMembers()
{
    if (!m_enabled || !std::exchange(m_membersChanged, false)) {
        return;
    }
    std::vector<RateLimitMember> members;
    const auto live = m_dependencies.members.liveMembers();
    members.reserve(live->size());
    for (const auto &it : *live) {
        members.push_back({.hash = it.hash, .id = it.member->id, .zone = it.member->zone});
    }
    m_node.setMembers(std::move(members), m_dependencies.timers.now());
}

void RateLimits::accountLimited(const std::string &account, bool limited)
{
    if (mayLog()) {
        m_log.info(limited ? "account reaches its rate limit" : "account is below its rate limit again",
                   {{"account", account}});
    }
}

void RateLimits::coordinatorChanged(const std::string &member, bool previousSilent)
{
    m_changes.add();
    if (previousSilent) {
        m_silent.add();
    }
    if (mayLog()) {
        m_log.info("rate limits: reporting to another coordinator",
                   {{"coordinator", member}, {"previousSilent", previousSilent ? "true" : "false"}});
    }
}

void RateLimits::ownShareUsed(bool used)
{
    m_ownShare.set(used ? 1 : 0);
    if (mayLog()) {
        m_log.info(used ? "rate limits: no coordinator answers, keeping to the own share"
                        : "rate limits: a coordinator answers again");
    }
}

bool RateLimits::mayLog()
{
    const auto now = m_dependencies.timers.now();
    if (now - m_logSecond >= std::chrono::seconds(1)) {
        m_logSecond = now;
        m_logLines = 0;
    }
    return ++m_logLines <= maxLogLinesPerSecond;
}

} // namespace Hornbeam
