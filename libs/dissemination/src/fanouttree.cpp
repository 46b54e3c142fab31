#include <hornbeam/dissemination/fanouttree.h>

#include <algorithm>

namespace Hornbeam {

namespace {

using Position = MemberList::const_iterator;

FanoutBranch makeBranch(Position begin, Position end, const HashRange &range)
{
    FanoutBranch branch{.range = range, .candidates = MemberList(begin, end)};
    std::stable_partition(branch.candidates.begin(), branch.candidates.end(), [](const ListedMember &listed) {
        return listed.member->state == MemberState::Alive;
    });
    branch.candidates.resize(std::min(branch.candidates.size(), FanoutTree::maxCandidates));
    return branch;
}

/** Splits @p range, whose members are [begin, end), into at most @p count branches. */
void appendBranches(
    std::vector<FanoutBranch> &branches, Position begin, Position end, const HashRange &range, std::size_t count)
{
    const auto members = static_cast<std::size_t>(end - begin);
    count = std::min(count, members);
    for (std::size_t i = 0; i < count; ++i) {
        const auto from = begin + static_cast<std::ptrdiff_t>(i * members / count);
        const auto to = begin + static_cast<std::ptrdiff_t>((i + 1) * members / count);
        const HashRange part{.first = i == 0 ? range.first : from->hash,
                             .last = i + 1 == count ? range.last : to->hash - 1};
        branches.push_back(makeBranch(from, to, part));
    }
}

} // namespace

std::vector<FanoutBranch> FanoutTree::split(
    const MemberList &members, const std::string &zone, const HashRange &range, MemberHash self, std::size_t fanout)
{
    MemberList eligible;
    bool containsSelf = false;
    const auto first = std::lower_bound(
        members.begin(), members.end(), range.first, [](const auto &listed, auto hash) { return listed.hash < hash; });
    for (auto it = first; it != members.end() && it->hash <= range.last; ++it) {
        if (it->member->zone != zone) {
            continue;
        }
        if (it->hash == self) {
            containsSelf = true;
        } else {
            eligible.push_back(*it);
        }
    }
    std::vector<FanoutBranch> branches;
    if (!containsSelf) {
        appendBranches(branches, eligible.begin(), eligible.end(), range, fanout);
        return branches;
    }
    // Each branch is either below or above the hash of this node, so that no receiver in the tree pushes the message
    // back to it.
    const auto middle = std::find_if(
        eligible.begin(), eligible.end(), [self](const ListedMember &listed) { return listed.hash > self; });
    const auto membersBelow = static_cast<std::size_t>(middle - eligible.begin());
    const auto membersAbove = eligible.size() - membersBelow;
    // The branches are divided in proportion to the members on both sides, rounded to the nearest number. A side with
    // members always gets a branch.
    auto branchesBelow = eligible.empty() ? 0 : (fanout * membersBelow + eligible.size() / 2) / eligible.size();
    branchesBelow = std::max<std::size_t>(branchesBelow, 1);
    if (membersAbove > 0 && fanout > 1) {
        branchesBelow = std::min(branchesBelow, fanout - 1);
    }
    const auto branchesAbove = membersBelow > 0 && fanout > 1 ? fanout - branchesBelow : fanout;
    if (membersBelow > 0) {
        appendBranches(branches, eligible.begin(), middle, {.first = range.first, .last = self - 1}, branchesBelow);
    }
    if (membersAbove > 0) {
        appendBranches(branches, middle, eligible.end(), {.first = self + 1, .last = range.last}, branchesAbove);
    }
    return branches;
}

} // namespace Hornbeam
