#include "zonesummary.h"

#include <algorithm>

namespace Hornbeam {

namespace {

ZoneSummary &findOrInsert(std::vector<ZoneSummary> &zones, const std::string &zone)
{
    const auto it =
        std::lower_bound(zones.begin(), zones.end(), zone, [](const ZoneSummary &summary, const std::string &name) {
            return summary.zone < name;
        });
    if (it != zones.end() && it->zone == zone) {
        return *it;
    }
    return *zones.insert(it, {.zone = zone});
}

} // namespace

std::vector<ZoneSummary> summariseZones(const MemberList &members)
{
    std::vector<ZoneSummary> zones;
    for (const auto &listed : members) {
        const auto &member = *listed.member;
        auto &summary = findOrInsert(zones, member.zone);
        if (member.state == MemberState::Failed) {
            ++summary.failedMembers;
        } else if (member.state != MemberState::Left) {
            ++summary.liveMembers;
            summary.storeWatchers += member.storeWatcher ? 1 : 0;
        }
    }
    return zones;
}

} // namespace Hornbeam
