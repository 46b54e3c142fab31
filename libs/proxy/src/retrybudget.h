#pragma once

#include <cstdint>

namespace Hornbeam {

/**
 * Bounds retries to a share of the requests, so that retries cannot multiply the load of failing targets.
 * Not thread-safe.
 */
class RetryBudget
{
public:
    /** @p percent: retries per hundred requests, 0..100. */
    explicit RetryBudget(std::uint32_t percent);

    /** Credits one first attempt. */
    void requestStarted();

    /** Takes one retry; false when the budget is used up. */
    bool tryTakeRetry();

private:
    std::uint32_t m_percent;
    std::uint32_t m_credit; ///< In hundredths of a retry.
};

} // namespace Hornbeam
