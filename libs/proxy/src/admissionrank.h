#pragma once

#include <hornbeam/config/route.h>

#include <algorithm>
#include <compare>
#include <cstddef>

namespace Hornbeam {

/**
 * Order in which queued requests get slots; a lower value comes first. Nested calls, which a running request makes,
 * come before new requests: if they fail, the work already done for the running request is lost. A request that is
 * expected to miss its latency objective or deadline has the rank of the next lower priority, so that it comes after
 * the requests of its priority that are expected to be in time. Below Priority::Low, there is a rank only for such
 * requests.
 */
class AdmissionRank
{
public:
    /** Nested calls, the three priorities, and requests of Priority::Low that are expected to be late. */
    static constexpr std::size_t count = 5;

    // NOLINTNEXTLINE(google-explicit-constructor): every priority has a rank.
    constexpr AdmissionRank(Priority priority)
        : m_value(1 + static_cast<std::size_t>(priority))
    {
    }

    /** Rank of a nested call. */
    static constexpr AdmissionRank nested()
    {
        return AdmissionRank(std::size_t{0});
    }

    /** @p value: 0..count - 1; larger values are clamped to the last rank. */
    static constexpr AdmissionRank fromValue(std::size_t value)
    {
        return AdmissionRank(std::min(value, count - 1));
    }

    /** Rank of the same request if it is expected to be late: that of the next lower priority, or the last one. */
    constexpr AdmissionRank late() const
    {
        return fromValue(m_value + 1);
    }

    constexpr std::size_t value() const
    {
        return m_value;
    }

    friend constexpr auto operator<=>(const AdmissionRank &, const AdmissionRank &) = default;

private:
    explicit constexpr AdmissionRank(std::size_t value)
        : m_value(value)
    {
    }

    std::size_t m_value;
};

} // namespace Hornbeam
