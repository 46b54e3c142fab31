#pragma once

#include <hornbeam/membership/membershiptable.h>

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace Hornbeam {

/** Member counts of one availability zone, as this node knows them. */
struct ZoneSummary
{
    std::string zone;
    std::size_t liveMembers = 0;
    std::size_t failedMembers = 0; ///< Failed members that are still in the membership table.
    std::size_t storeWatchers = 0; ///< Live members that watch the store.

    /** Whether the whole zone is down or partitioned from this node. */
    bool unreachable() const
    {
        return liveMembers == 0 && failedMembers > 0;
    }

    friend auto operator<=>(const ZoneSummary &, const ZoneSummary &) = default;
};

/** Returns one summary per zone, sorted by zone. Members that left gracefully are not counted. */
std::vector<ZoneSummary> summariseZones(const MemberList &members);

} // namespace Hornbeam
