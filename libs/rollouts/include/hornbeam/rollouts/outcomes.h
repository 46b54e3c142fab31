#pragma once

#include <hornbeam/base/error.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Hornbeam {

/** Results of requests that targets have run. */
struct OutcomeCounts
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::chrono::milliseconds totalTime{0}; ///< Sum of the times at the target, without the wait for a slot.

    OutcomeCounts &operator+=(const OutcomeCounts &other);
    OutcomeCounts operator-(const OutcomeCounts &earlier) const;

    friend auto operator<=>(const OutcomeCounts &, const OutcomeCounts &) = default;
};

/** By route. */
using RouteOutcomes = std::map<std::string, OutcomeCounts>;

/**
 * The results of one service at the targets of one node since the node has known the order. They are sums, so a lost
 * report does no harm.
 */
struct OutcomeReport
{
    std::string service;
    std::int64_t order = 0; ///< RolloutOrder::revision.
    std::chrono::milliseconds elapsed{0}; ///< Since the node has known the order.
    std::map<std::string, RouteOutcomes> versions;

    std::string encode() const;

    /** InvalidArgument for malformed text. */
    static Result<OutcomeReport> decode(std::string_view text);

    friend auto operator<=>(const OutcomeReport &, const OutcomeReport &) = default;
};

} // namespace Hornbeam
