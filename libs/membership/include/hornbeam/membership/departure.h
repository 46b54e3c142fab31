#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <string>

namespace Hornbeam {

/**
 * Marks announcements of a named target as outdated, because the target has since said that it is leaving or gone:
 * those of earlier runs, and those of the run @c instance with a number up to @c sequence.
 */
struct Departure
{
    static constexpr auto anySequence = std::numeric_limits<std::uint64_t>::max();

    std::string name; ///< Not empty; at most 128 characters.
    std::uint64_t instance = 0;
    std::uint64_t sequence = anySequence; ///< anySequence if the run has ended.

    /** Whether an announcement with these numbers is outdated. */
    bool covers(std::uint64_t announcedInstance, std::uint64_t announcedSequence) const
    {
        return announcedInstance < instance || (announcedInstance == instance && announcedSequence <= sequence);
    }

    friend auto operator<=>(const Departure &, const Departure &) = default;
};

} // namespace Hornbeam
