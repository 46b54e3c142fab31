#include "zonesummary.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

ListedMember listed(const std::string &zone, MemberState state, bool watcher = false)
{
    return {.hash = 0,
            .member = std::make_shared<const Member>(Member{.zone = zone, .state = state, .storeWatcher = watcher})};
}

} // namespace

TEST_GROUP(ZoneSummary){};

// Guards against a missed alarm for a partitioned zone, which happens when its failed members are counted as live.
TEST(ZoneSummary, zoneWithoutLiveMembersIsUnreachable)
{
    const auto zones = summariseZones({listed("turku", MemberState::Failed),
                                       listed("tampere", MemberState::Alive, true),
                                       listed("tampere", MemberState::Suspect),
                                       listed("tampere", MemberState::Failed)});
    CHECK_EQUAL(2, zones.size());
    STRCMP_EQUAL("tampere", zones[0].zone.c_str());
    CHECK_FALSE(zones[0].unreachable());
    CHECK_EQUAL(2, zones[0].liveMembers);
    CHECK_EQUAL(1, zones[0].storeWatchers);
    CHECK(zones[1].unreachable());
}

// Guards against a false alarm for a zone that was shut down on purpose.
TEST(ZoneSummary, zoneThatLeftIsNotUnreachable)
{
    CHECK_FALSE(summariseZones({listed("turku", MemberState::Left)}).front().unreachable());
}
