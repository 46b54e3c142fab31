#pragma once

#include <hornbeam/base/timerservice.h>

#include <array>
#include <cstdint>

namespace Hornbeam {

/** Counts events of the last 600 ms. */
class DemandWindow
{
public:
    void add(double events, TimePoint now);

    /** Events a second over the window. */
    double ratePerSecond(TimePoint now);

    static constexpr auto length = std::chrono::milliseconds(600);

private:
    static constexpr std::size_t binCount = 6;
    static constexpr auto binLength = length / binCount;

    void moveTo(TimePoint now);

    std::array<double, binCount> m_bins{};
    std::int64_t m_newest = 0; ///< Number of the newest bin since the epoch of the clock.
};

} // namespace Hornbeam
