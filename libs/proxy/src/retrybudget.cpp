#include "retrybudget.h"

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr std::uint32_t retryCost = 100;

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

bool RetryBudget::tryTakeRetry()
{
    if (m_credit < retryCost) {
        return false;
    }
    m_credit -= retryCost;
    return true;
}

} // namespace Hornbeam
