#include "retrybudget.h"

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr std::uint32_t retryCost = 100;

/** Credit that quiet times can save up: enough for a few failures in a row, too little for a retry storm. */
constexpr std::uint32_t maxCredit = 10 * retryCost;

} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : m_percent(percent)
    , m_credit(percent == 0 ? 0 : maxCredit)
{
}

void RetryBudget::requestStarted()
{
    m_credit = std::min(m_credit + m_percent, maxCredit);
}

bool RetryBudget::tryTakeRetry()
{
    if (m_credit < retryCost) {
        return false;
    }
    m_credit -= retryCost;
    return true;
}

} // namespace Hornbeam
