#pragma once

#include <hornbeam/config/route.h>

#include <algorithm>
#include <compare>
#include <cstddef>

namespace Hornbeam {

/**
 * Order in which queued requests get slots; a lower rank comes first. Nested calls, which a running request makes,
 * come before new requests: if they fail, the work already done for the running request is lost. New requests are
 * ordered by the priority of their client account first; a request without one has Priority::Normal in this. Requests
 * of accounts with the same priority are ordered by the priority of their route: an account priority that replaced it
 * would make urgent and bulk requests of an account equal. A request that is expected to miss its latency objective or
 * deadline has the rank of the next lower priority of a route, so that it comes after those that are expected to be in
 * time. Below Priority::Low, there is a rank only for such requests.
 */
class AdmissionRank
{
public:
    /** Values without the account: nested calls, the three priorities, and late requests of Priority::Low. */
    static constexpr std::size_t count = 5;

    /** Queues that are needed for all ranks. */
    static constexpr std::size_t queueCount = 1 + 3 * (count - 1);

    // NOLINTNEXTLINE(google-explicit-constructor): every priority of a route has a rank.
    constexpr AdmissionRank(Priority priority)
        : AdmissionRank(Priority::Normal, 1 + static_cast<std::size_t>(priority))
    {
    }

    /** Rank of a nested call. */
    static constexpr AdmissionRank nested()
    {
        return {Priority::High, 0};
    }

    /** The rank for requests without an account. @p value: 0..count - 1; larger values are clamped to the last rank. */
    static constexpr AdmissionRank fromValue(std::size_t value)
    {
        return value == 0 ? nested() : AdmissionRank(Priority::Normal, std::min(value, count - 1));
    }

    /** The rank of the same request if its account has @p priority. Does not change that of a nested call. */
    constexpr AdmissionRank forAccount(Priority priority) const
    {
        return m_value == 0 ? *this : AdmissionRank(priority, m_value);
    }

    /** Rank of the same request if it is expected to be late: that of the next lower priority, or the last one. */
    constexpr AdmissionRank late() const
    {
        return {m_account, std::min(m_value + 1, count - 1)};
    }

    /** The rank without the account, 0..count - 1. */
    constexpr std::size_t value() const
    {
        return m_value;
    }

    /** Position among all ranks, 0..queueCount - 1. */
    constexpr std::size_t queueIndex() const
    {
        return m_value == 0 ? 0 : static_cast<std::size_t>(m_account) * (count - 1) + m_value;
    }

    friend constexpr auto operator<=>(const AdmissionRank &, const AdmissionRank &) = default;

private:
    constexpr AdmissionRank(Priority account, std::size_t value)
        : m_account(account)
        , m_value(value)
    {
    }

    Priority m_account;
    std::size_t m_value;
};

} // namespace Hornbeam
