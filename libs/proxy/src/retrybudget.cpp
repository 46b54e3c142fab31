#include "retrybudget.h"

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr std::int64_t retryCost = 100;

/** Lower bound of the credit, so that the budget recovers within some hundred requests. */
constexpr std::int64_t minCredit = -50 * retryCost;

} // namespace

RetryBudget::RetryBudget(std::uint32_t percent, std::uint32_t reserve)
    : m_percent(percent)
    , m_maxCredit(reserve * retryCost)
    , m_credit(percent == 0 ? 0 : m_maxCredit)
{
}

void RetryBudget::setReserve(std::uint32_t reserve)
{
    m_maxCredit = reserve * retryCost;
    m_credit = std::min(m_credit, m_maxCredit);
}

void RetryBudget::requestStarted()
{
    m_credit = std::min(m_credit + m_percent, m_maxCredit);
}

void RetryBudget::chargeRetry()
{
    m_credit = std::max(m_credit - retryCost, minCredit);
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
