#include <hornbeam/membership/membershiptable.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Hornbeam;

namespace {

Member makeMember(std::uint64_t incarnation, MemberState state, std::uint64_t configVersion = 0)
{
    return {.id = "a",
            .zone = "turku",
            .peerAddress = Endpoint("127.0.0.1", static_cast<std::uint16_t>(1000 + incarnation)),
            .incarnation = incarnation,
            .state = state,
            .configVersion = configVersion};
}

} // namespace

TEST_GROUP(MembershipTable)
{
    MembershipTable table;
    MemberHash hash = memberHash("a");
};

// Guards against members that disagree permanently because they received the same updates in different orders.
TEST(MembershipTable, givesTheSameResultInEveryOrder)
{
    std::vector<Member> updates = {makeMember(1, MemberState::Alive, 7),
                                   makeMember(2, MemberState::Suspect),
                                   makeMember(2, MemberState::Alive),
                                   makeMember(3, MemberState::Alive, 5)};
    std::vector<int> order = {0, 1, 2, 3};
    do {
        MembershipTable permuted;
        for (const auto i : order) {
            permuted.merge(updates[i]);
        }
        CHECK(*permuted.find(hash) == makeMember(3, MemberState::Alive, 7));
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(MembershipTable, ignoresOlderUpdates)
{
    CHECK(table.merge(makeMember(2, MemberState::Suspect)));
    CHECK_FALSE(table.merge(makeMember(2, MemberState::Alive)));
    CHECK_FALSE(table.merge(makeMember(1, MemberState::Failed)));
    CHECK(table.merge(makeMember(3, MemberState::Alive)));
    CHECK(table.find(hash)->state == MemberState::Alive);
}

TEST(MembershipTable, listsOnlyLiveMembers)
{
    table.merge(makeMember(1, MemberState::Alive));
    const auto before = table.liveMembers();
    table.merge(makeMember(1, MemberState::Failed));
    CHECK_EQUAL(1, before->size());
    CHECK(table.liveMembers()->empty());
    CHECK_EQUAL(1, table.allMembers().size());
    CHECK_EQUAL(1001, table.find(hash)->peerAddress.port());
}

// Guards against a node that adds a member to its table that has already failed, because it first hears of the member
// in the update about the failure.
TEST(MembershipTable, ignoresTheFailureOfAnUnknownMember)
{
    CHECK_FALSE(table.merge(makeMember(1, MemberState::Failed)));
    CHECK(table.allMembers().empty());
}

// Guards against digests of equal tables that differ after different updates; the members would exchange their tables
// again and again.
TEST(MembershipTable, returnsToTheSameDigest)
{
    const auto empty = table.digest();
    table.merge(makeMember(1, MemberState::Alive));
    const auto one = table.digest();
    CHECK(one != empty);
    table.merge(makeMember(2, MemberState::Alive));
    CHECK(table.digest() != one);
    table.merge(makeMember(2, MemberState::Failed));
    CHECK_EQUAL(empty, table.digest());
    CHECK(table.bucketDigests() == MembershipTable().bucketDigests());
}

TEST(MembershipTable, reportsInsertionsAndRemovalsToListeners)
{
    int insertions = 0;
    int removals = 0;
    table.subscribe([&](const MemberPtr &before, const MemberPtr &after) {
        insertions += before ? 0 : 1;
        removals += after ? 0 : 1;
    });
    table.merge(makeMember(1, MemberState::Alive));
    table.recordConfigVersion(hash, 3);
    table.recordConfigVersion(hash, 2);
    CHECK_EQUAL(3, table.find(hash)->configVersion);
    table.remove(hash);
    CHECK_EQUAL(1, insertions);
    CHECK_EQUAL(1, removals);
}
