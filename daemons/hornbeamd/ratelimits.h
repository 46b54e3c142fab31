#pragma once

#include "logger.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/membership/failuredetector.h>
#include <hornbeam/proxy/requestlimiter.h>
#include <hornbeam/ratelimits/ratelimitnode.h>

#include <string>
#include <vector>

namespace Hornbeam {

/** The referenced objects must outlive the RateLimits. */
struct RateLimitsDependencies
{
    TimerService &timers;
    FailureDetector &detector;
    const MembershipTable &members;
    MetricsRegistry &metrics;
};

/**
 * Connects the rate limits of client accounts with the proxy and the membership. While no account has a limit, no timer
 * runs and nothing is sent. Control thread, except for the methods of RequestLimiter.
 */
class RateLimits : public RequestLimiter, private RateLimitEvents
{
public:
    RateLimits(RateLimitNodeOptions options, RateLimitsDependencies dependencies);

    Decision admit(const std::string &account, TimePoint now) override;
    void giveBack(const std::string &account, TimePoint now) override;

    /** Sets the limits of the configuration in effect; accounts without a rate are ignored. */
    void setLimits(std::vector<AccountLimit> limits);

    /** Sets how many nodes the settings or the directory list. */
    void setExpectedNodes(std::size_t count);

    /** Tells that the live members have changed. */
    void membersChanged();

    /** Tells that a datagram of any member has arrived. */
    void memberHeard();

    void receive(const Payload &payload);

private:
    void accountLimited(const std::string &account, bool limited) override;
    void coordinatorChanged(const std::string &member, bool previousSilent) override;
    void ownShareUsed(bool used) override;

    void tick();
    void updateMembers();
    bool mayLog();

    RateLimitsDependencies m_dependencies;
    Logger m_log{"ratelimits"};
    AccountLimiter m_limiter;
    RateLimitNode m_node;
    bool m_enabled = false;
    bool m_membersChanged = true;
    int m_logLines = 0; ///< In the current second.
    TimePoint m_logSecond;
    TimerHandle m_timer;
    Counter &m_messages;
    Counter &m_invalid;
    Counter &m_changes;
    Counter &m_silent;
    Gauge &m_ownShare;
    Gauge &m_limitedAccounts;
    Gauge &m_silentZones;
};

} // namespace Hornbeam
