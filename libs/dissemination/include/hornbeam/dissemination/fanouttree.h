#pragma once

#include <hornbeam/dissemination/hashrange.h>

#include <string>
#include <vector>

namespace Hornbeam {

/** A subrange of member hashes and the members that can forward a message in it. */
struct FanoutBranch
{
    HashRange range;
    MemberList candidates; ///< Members in the range, in the order in which to try them; never empty.
};

/**
 * Computes the branches to which a node forwards a message in one zone. The branches also cover hashes at which the
 * sender knows no member, so that a receiver with a newer table reaches members that the sender does not know. The hash
 * of the sender is in no branch.
 */
class FanoutTree
{
public:
    /** Maximum number of candidates per branch. */
    static constexpr std::size_t maxCandidates = 5;

    /**
     * Splits @p range into at most @p fanout (at least 1) branches with about the same number of members. With a
     * @p fanout of 1, there are two branches if there are members on both sides of @p self.
     * @p members must be sorted by hash; members of other zones and @p self are skipped. Within a branch, alive members
     * precede suspect ones.
     */
    static std::vector<FanoutBranch> split(const MemberList &members,
                                           const std::string &zone,
                                           const HashRange &range,
                                           MemberHash self,
                                           std::size_t fanout);
};

} // namespace Hornbeam
