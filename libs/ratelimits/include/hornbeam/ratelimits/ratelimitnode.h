#pragma once

#include <hornbeam/ratelimits/accountlimiter.h>
#include <hornbeam/ratelimits/limitcoordinator.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hornbeam {

/** A live member, as far as rate limits depend on it. */
struct RateLimitMember
{
    std::uint64_t hash = 0; ///< Orders the members in the choice of coordinators; the same on all nodes.
    std::string id;
    std::string zone;

    friend auto operator<=>(const RateLimitMember &, const RateLimitMember &) = default;
};

/** Receives what an operator has to know. */
class RateLimitEvents
{
public:
    virtual ~RateLimitEvents() = default;

    /** The coordinator on this node starts or stops limiting an account. */
    virtual void accountLimited(const std::string &account, bool limited) = 0;

    /** The node reports to another coordinator, because the members changed or the previous one did not answer. */
    virtual void coordinatorChanged(const std::string &member, bool previousSilent) = 0;

    /** No coordinator answers, so the node limits itself to its own share (true), or one answers again (false). */
    virtual void ownShareUsed(bool used) = 0;
};

struct RateLimitNodeOptions
{
    std::string id; ///< Of this node in the membership.
    std::string zone; ///< Availability zone of this node.
};

/**
 * The part of a node in the rate limits: reports to a coordinator of its zone, and is one itself while nodes report to
 * it. The coordinators of a zone are its live members with the lowest hashes, one for every 64 nodes, so that their
 * cost does not grow with the zone. Call tick() every tickPeriod. Control thread only.
 */
class RateLimitNode
{
public:
    /** Sends a message to a member; unreliable. */
    using Send = std::function<void(const std::string &member, const std::string &bytes)>;

    static constexpr auto tickPeriod = std::chrono::milliseconds(200);

    /** The limiter and the events must outlive the object. */
    RateLimitNode(RateLimitNodeOptions options, AccountLimiter &limiter, RateLimitEvents &events, Send send);

    /** Sets the limits here and in the limiter. Without limits, nothing is sent and kept. */
    void setLimits(const std::vector<AccountLimit> &limits, TimePoint now);

    /** Sets the live members, this node included. */
    void setMembers(std::vector<RateLimitMember> members, TimePoint now);

    /** Sets how many nodes are registered or listed in the settings, whether they are live or not. */
    void setExpectedNodes(std::size_t count);

    /** Tells that any message of another member has arrived, so this node is not cut off. */
    void memberHeard(TimePoint now);

    void tick(TimePoint now);

    /** Handles a message of @p member. Returns false if it is malformed. */
    bool receive(const std::string &member, std::string_view bytes, TimePoint now);

    const LimitCoordinator &coordinator() const
    {
        return m_coordinator;
    }

    /** Id of the member to which this node reports; empty if there is none. */
    const std::string &reportsTo() const
    {
        return m_reportsTo;
    }

private:
    void chooseCoordinator(TimePoint now, bool previousSilent);
    std::vector<std::string> candidates() const;
    bool mayCoordinate(TimePoint now) const;
    void report(TimePoint now);
    void coordinatorSilent(TimePoint now);
    void answered(const LimitStatus &status, TimePoint now);
    void sync(TimePoint now);
    void notifyQuietNodes(TimePoint now);

    const RateLimitNodeOptions m_options;
    AccountLimiter &m_limiter;
    RateLimitEvents &m_events;
    const Send m_send;
    LimitCoordinator m_coordinator;
    std::vector<AccountLimit> m_limits;
    std::map<std::string, std::vector<RateLimitMember>>
        m_zones; ///< Live members by zone, in the order of their hashes.
    std::size_t m_memberCount = 0;
    std::size_t m_largestMemberCount = 0;
    std::size_t m_recentZoneSize = 0; ///< Largest size of the own zone since m_recentZoneTime.
    TimePoint m_recentZoneTime;
    std::string m_reportsTo;
    std::map<std::string, TimePoint> m_avoided; ///< Members that did not answer, until this time.
    int m_unanswered = 0; ///< Ticks with a report since the last answer or choice of a coordinator.
    TimePoint m_lastReport;
    TimePoint m_lastHeard; ///< Time of the last message of any other member.
    std::size_t m_expectedNodes = 1;
};

} // namespace Hornbeam
