#include <hornbeam/dissemination/fanouttree.h>

#include <CppUTest/TestHarness.h>

#include <set>

using namespace Hornbeam;

TEST_GROUP(FanoutTree)
{
    MembershipTable table;

    void fill(int count)
    {
        for (int i = 0; i < count; ++i) {
            Member member{.id = "node-" + std::to_string(i), .zone = i % 10 == 0 ? "other" : "zone"};
            member.peerAddress = Endpoint("127.0.0.1", static_cast<std::uint16_t>(1000 + i));
            table.merge(member);
        }
    }

    void visit(const HashRange &range, MemberHash self, std::multiset<MemberHash> &visited)
    {
        for (const auto &branch : FanoutTree::split(*table.liveMembers(), "zone", range, self, 8)) {
            const auto hash = branch.candidates.front().hash;
            CHECK(branch.range.contains(hash));
            visited.insert(hash);
            visit(branch.range, hash, visited);
        }
    }
};

// Guards against members that are in no branch and miss the message, and against members that receive it twice.
TEST(FanoutTree, visitsEveryMemberOfTheZoneOnce)
{
    fill(500);
    std::multiset<MemberHash> visited;
    visit({}, memberHash("node-1"), visited);
    CHECK_EQUAL(449, visited.size());
    CHECK_EQUAL(449, std::set<MemberHash>(visited.begin(), visited.end()).size());
}

// Guards against gaps between branches, in which members that the sender does not know would miss the message, and
// against a branch that contains the sender, which would receive its own message.
TEST(FanoutTree, coversTheWholeRangeWithoutTheSender)
{
    fill(100);
    const auto self = memberHash("node-1");
    const auto branches = FanoutTree::split(*table.liveMembers(), "zone", {}, self, 8);
    CHECK_EQUAL(8, branches.size());
    CHECK_EQUAL(0, branches.front().range.first);
    CHECK_EQUAL(~MemberHash(0), branches.back().range.last);
    for (std::size_t i = 1; i < branches.size(); ++i) {
        CHECK_FALSE(branches[i].range.contains(self));
        const auto next = branches[i - 1].range.last + 1;
        CHECK_EQUAL(next == self ? self + 1 : next, branches[i].range.first);
    }
}

TEST(FanoutTree, ordersSuspectsAfterAliveMembers)
{
    fill(3);
    const auto first = FanoutTree::split(*table.liveMembers(), "zone", {}, 0, 1).front().candidates.front().member;
    auto suspect = *first;
    suspect.state = MemberState::Suspect;
    table.merge(suspect);
    CHECK(FanoutTree::split(*table.liveMembers(), "zone", {}, 0, 1).front().candidates.back().member->id == first->id);
    CHECK(FanoutTree::split(*table.liveMembers(), "nowhere", {}, 0, 1).empty());
}
