#pragma once

#include <hornbeam/ratelimits/accountlimit.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hornbeam {

/** Largest number of accounts in one message, so that it fits in a datagram of the membership protocol. */
constexpr std::size_t maxAccountsPerMessage = 40;

/** What a node has counted for one account since the start of a session. The counts never decrease. */
struct AccountCounts
{
    std::uint64_t asked = 0;
    std::uint64_t admitted = 0;
    std::uint64_t returned = 0; ///< Admitted requests that were refused later and have not run.

    friend auto operator<=>(const AccountCounts &, const AccountCounts &) = default;
};

/** Sent by a node to its coordinator. Counts are totals, so that a lost or repeated report does not falsify them. */
struct LimitReport
{
    struct Entry
    {
        AccountKey account = 0;
        AccountCounts counts;

        friend auto operator<=>(const Entry &, const Entry &) = default;
    };

    std::uint32_t session = 0; ///< Increases when the node starts to count from 0 for another coordinator.
    std::uint32_t sequence = 0; ///< Increases with each report of a session.
    std::vector<Entry> entries;

    friend auto operator<=>(const LimitReport &, const LimitReport &) = default;
};

/** The answer to a report, or a notice without one. Accounts that it does not list are admitted. */
struct LimitStatus
{
    struct Entry
    {
        AccountKey account = 0;
        double share = 1; ///< Share of the requests to admit, 0..1.

        friend auto operator<=>(const Entry &, const Entry &) = default;
    };

    std::uint32_t session = 0; ///< Of the report; 0 in a notice.
    std::uint32_t sequence = 0; ///< Of the report; 0 in a notice.
    std::vector<Entry> entries;

    friend auto operator<=>(const LimitStatus &, const LimitStatus &) = default;
};

/** Exchanged between coordinators. */
struct LimitSync
{
    struct Entry
    {
        AccountKey account = 0;
        std::int64_t spent = 0; ///< Requests that have run or still may, since the coordinator became active.
        double demand = 0; ///< Requests a second.
        std::int64_t level = 0; ///< Tokens in the sender's bucket.

        friend auto operator<=>(const Entry &, const Entry &) = default;
    };

    std::uint32_t sequence = 0;
    bool active = false; ///< Whether nodes report to the sender.
    bool complete = false; ///< Whether the sender hears from all zones, so that its buckets follow all nodes.
    std::uint32_t ageMilliseconds = 0; ///< Time since the sender became active.
    std::string zone;
    std::vector<Entry> entries;

    friend auto operator<=>(const LimitSync &, const LimitSync &) = default;
};

using LimitMessage = std::variant<LimitReport, LimitStatus, LimitSync>;

std::string encode(const LimitMessage &message);

/** Returns nothing if the bytes are malformed or a value is out of range. */
std::optional<LimitMessage> decodeLimitMessage(std::string_view bytes);

} // namespace Hornbeam
