#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/ratelimits/limitmessage.h>

#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace Hornbeam {

struct LimitDecision
{
    bool admitted = true;
    std::chrono::milliseconds retryAfter{0}; ///< When a token will be available, if not admitted.
};

/**
 * Decides on this node, without a message, whether a request stays within its account's limit over all nodes. Load: an
 * account sends several times its usual rate, spread over all nodes or to one of them.
 *
 * The coordinator answers reports of what was counted here with the share of the requests that each node has to admit.
 * The sum over the nodes then follows the limit however the requests are distributed. A token bucket with the complete
 * limit bounds what this node alone admits between two answers. Thread-safe.
 */
class AccountLimiter
{
public:
    explicit AccountLimiter(std::uint64_t randomSeed);

    /** Replaces the limits. Accounts that are not listed have none. Buckets of new accounts are nearly empty. */
    void setLimits(const std::vector<AccountLimit> &limits, TimePoint now);

    LimitDecision admit(const std::string &account, TimePoint now);

    /** Returns the token of an admitted request that was refused later and has not run. Call it once for a request. */
    void giveBack(const std::string &account, TimePoint now);

    /** Whether there is something to report, or an answer is needed to end a limit. */
    bool hasReport() const;

    /** Returns the accounts whose counts are not yet acknowledged; at least one report, which may be empty. */
    std::vector<LimitReport> makeReports();

    /**
     * Applies a notice or the answer to a report of the current session; false for another one. @p agreed: the
     * coordinator is in contact with other nodes, so that this node may keep to the rate if nobody answers later.
     */
    bool applyStatus(const LimitStatus &status, bool agreed, TimePoint now);

    /** Starts to count for a new coordinator, from what the previous one has not acknowledged. */
    void startSession();

    /** Sets the number of nodes that share the limits; at least 1. */
    void setNodeCount(std::size_t nodes);

    /**
     * Limits this node to the part of the limits that it used when the coordinator last answered, until the next
     * answer. A node that no coordinator has answered yet is limited to an equal part.
     */
    void useOwnShare(TimePoint now);

    bool usesOwnShare() const;

private:
    struct ReportedCounts
    {
        std::uint32_t sequence = 0;
        AccountCounts counts;
    };

    struct Account
    {
        AccountLimit limit;
        AccountKey key = 0;
        double tokens = 0; ///< Of the bucket with the complete limit.
        TimePoint refilled;
        double share = 1; ///< Share of the requests to admit.
        double credit = 0; ///< Fraction of a request that is admitted in addition to those before.
        double ownRate = 0; ///< Requests a second while the node uses its own share.
        double ownTokens = 0;
        double ownCapacity = 1;
        double demand = 0; ///< Requests a second that callers have sent here, averaged over about a second.
        double usualDemand = 0; ///< The same, averaged over about five seconds.
        TimePoint demandUpdated;
        double agreedRate = 0; ///< Requests a second that were admitted when the coordinator last answered.
        TimePoint promised; ///< Time of the last token that was announced in a Retry-After.
        AccountCounts counts; ///< Of the current session.
        AccountCounts acknowledged; ///< The newest counts that the coordinator of the session has answered.
        ReportedCounts last; ///< The two last reports, of which the answer to the earlier one may be on its way.
        ReportedCounts lastButOne;
        bool unreported = false; ///< The counts have changed since the last report.
        bool unacknowledged = false; ///< The last report has not been answered.
    };

    static void acknowledge(Account &account, std::uint32_t sequence);
    static double currentDemand(const Account &account, TimePoint now);
    static double usualDemand(const Account &account, TimePoint now);
    void refill(Account &account, TimePoint now) const;
    bool take(Account &account);
    std::chrono::milliseconds retryAfter(Account &account, TimePoint now);
    double equalShare(const Account &account) const;
    double randomFraction();

    mutable std::mutex m_mutex;
    std::map<std::string, Account> m_accounts;
    std::mt19937_64 m_random;
    std::uint32_t m_session = 0; ///< Of the current coordinator; 1 for the first.
    std::uint32_t m_sequence = 0;
    bool m_limiting = false; ///< The last answer limited an account.
    bool m_answered = false; ///< A coordinator has answered since the start.
    bool m_sessionAnswered = false;
    int m_unansweredSessions = 0; ///< In a row.
    bool m_ownShare = true;
    double m_nodes = 1;
};

} // namespace Hornbeam
