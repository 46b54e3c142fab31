#pragma once

#include <cstdint>

namespace Hornbeam {

/**
 * Limits retries to a percentage of the requests, so that retries cannot multiply the load of failing targets. A token
 * bucket: each request adds a fraction of a retry, each retry takes one. Not thread-safe.
 */
class RetryBudget
{
public:
    /** Default bucket size, in retries: enough for a few failures, too small for a retry storm. */
    static constexpr std::uint32_t defaultReserve = 10;

    /** @p percent: retries per hundred requests, 0..100. @p reserve: bucket size, in retries. */
    explicit RetryBudget(std::uint32_t percent, std::uint32_t reserve = defaultReserve);

    /** Changes the bucket size; credit beyond it is dropped. */
    void setReserve(std::uint32_t reserve);

    /** Adds the credit of one request, that is, of its first attempt. */
    void requestStarted();

    /** Takes the credit of one retry. Returns false if there is not enough. */
    bool tryTakeRetry();

    /** Charges a repetition that this node did not decide on and cannot refuse; the credit can become negative. */
    void chargeRetry();

private:
    std::int64_t m_percent;
    std::int64_t m_maxCredit;
    std::int64_t m_credit; ///< In hundredths of a retry.
};

} // namespace Hornbeam
