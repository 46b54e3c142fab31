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
    /** Retries that quiet times can save up by default: enough for a few failures, too little for a retry storm. */
    static constexpr std::uint32_t defaultReserve = 10;

    /** @p percent: retries per hundred requests, 0..100. @p reserve: most retries that quiet times can save up. */
    explicit RetryBudget(std::uint32_t percent, std::uint32_t reserve = defaultReserve);

    /** Changes the reserve; what is saved up beyond it is lost. */
    void setReserve(std::uint32_t reserve);

    /** Credits one first attempt. */
    void requestStarted();

    /** Takes one retry; false when the budget is used up. */
    bool tryTakeRetry();

    /** Charges a repetition that cannot be avoided; the budget can become overdrawn. */
    void chargeRetry();

private:
    std::int64_t m_percent;
    std::int64_t m_maxCredit;
    std::int64_t m_credit; ///< In hundredths of a retry.
};

} // namespace Hornbeam
