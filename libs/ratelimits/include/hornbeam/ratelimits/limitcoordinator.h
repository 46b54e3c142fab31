#pragma once

#include <hornbeam/base/timerservice.h>
#include <hornbeam/ratelimits/limitmessage.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * Follows what accounts ask and spend over all nodes, and derives which share of their requests has to be admitted.
 * Each zone has at least one coordinator. It counts the reports of its nodes and exchanges the sums with the others.
 *
 * Load: accounts at 0.9 to 7.5 times their limit, with requests that move between nodes and zones. The share follows
 * from one token bucket for each account, whose level may become negative: what is spent too much until nodes receive a
 * smaller share is admitted less afterwards. A zone that is not heard from keeps the part that it had when it was last
 * heard from; this part is spent here as if the zone used it all.
 */
class LimitCoordinator
{
public:
    /** Called when an account becomes limited (true) or has not been limited for some seconds (false). */
    using LimitingListener = std::function<void(const std::string &account, bool limited)>;

    /** @p zone: availability zone of this node. */
    explicit LimitCoordinator(std::string zone, LimitingListener listener = {});
    ~LimitCoordinator();

    /** Replaces the limits. Buckets of new accounts are empty; a higher limit fills no bucket. */
    void setLimits(const std::vector<AccountLimit> &limits, TimePoint now);

    /** Sets the zones that have live nodes. */
    void setZones(const std::vector<std::string> &zones, TimePoint now);

    /** Counts a report and returns the answer. A report that is older than one before returns nothing. */
    std::optional<LimitStatus> receiveReport(const std::string &node, const LimitReport &report, TimePoint now);

    /**
     * Returns the answer for a node that has not reported for some time, and that therefore may not know which accounts
     * have to be limited; session and sequence are 0. No entries if none has to be.
     */
    LimitStatus notice(TimePoint now);

    /** Time of the last report of @p node, if there is one. */
    std::optional<TimePoint> lastReport(const std::string &node) const;

    /** Counts what another coordinator reports. */
    void receiveSync(const std::string &coordinator, const LimitSync &sync, TimePoint now);

    /** Ends the activity of a node that is cut off: what it knows is outdated when nodes report again. */
    void deactivate();

    /** Whether nodes have reported recently. */
    bool isActive(TimePoint now) const;

    /** Returns the sums that are due, at least one message; only one that is not active while no node reports. */
    std::vector<LimitSync> makeSyncs(TimePoint now);

    /** Ids of other active coordinators that were heard from recently. */
    std::vector<std::string> activePeers(TimePoint now) const;

    /** Number of zones whose part is reserved because they are not heard from. */
    std::size_t silentZones() const;

    /** Whether the part of @p zone is reserved. */
    bool isSilent(const std::string &zone) const;

    /** Number of accounts that are limited. */
    std::size_t limitedAccounts() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
