#pragma once

#include <hornbeam/config/route.h>

#include <algorithm>
#include <compare>
#include <cstddef>

namespace Hornbeam {

/**
 * Order in which requests get slots; a lower rank comes first. Calls of a request that already runs come before new
 * requests, because the work that its target has done would be lost. A request whose response will miss its objective
 * comes after those of its priority that can still meet it.
 */
class AdmissionRank
{
public:
    static constexpr std::size_t count = 5;

    // NOLINTNEXTLINE(google-explicit-constructor): every priority has a rank.
    constexpr AdmissionRank(Priority priority)
        : m_value(1 + static_cast<std::size_t>(priority))
    {
    }

    /** The rank of a call that a running request makes. */
    static constexpr AdmissionRank nested()
    {
        return AdmissionRank(std::size_t{0});
    }

    /** @p value: 0..count - 1; larger ones are the last rank. */
    static constexpr AdmissionRank fromValue(std::size_t value)
    {
        return AdmissionRank(std::min(value, count - 1));
    }

    /** The rank of the same request when its response will be late. */
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
