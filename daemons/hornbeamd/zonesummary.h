#pragma once

#include <hornbeam/membership/membershiptable.h>

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace Hornbeam {

/** What a node knows about the members of one availability zone. */
struct ZoneSummary
{
    std::string zone;
    std::size_t liveMembers = 0;
    std::size_t failedMembers = 0; ///< Failed members that are still remembered.
    std::size_t storeWatchers = 0; ///< Live members that watch the store.

    /** Whether the zone is cut off from this node or down as a whole. */
    bool unreachable() const
    {
        return liveMembers == 0 && failedMembers > 0;
    }

    friend auto operator<=>(const ZoneSummary &, const ZoneSummary &) = default;
};

/** Returns one summary per zone, sorted by zone. Members that left as planned do not count. */
std::vector<ZoneSummary> summariseZones(const MemberList &members);

} // namespace Hornbeam
