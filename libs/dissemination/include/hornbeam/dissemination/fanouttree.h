#pragma once

#include <hornbeam/dissemination/hashrange.h>

#include <string>
#include <vector>

namespace Hornbeam {

/** A part of a range, and who can pass a message on in it. */
struct FanoutBranch
{
    HashRange range;
    MemberList candidates; ///< Members in the range, in the order in which they are tried; never empty.
};

/**
 * Computes how a node passes a message on to a zone. The branches also cover hashes where the sender knows no member,
 * so that a receiver with a newer table reaches members that the sender does not know. They leave out the sender.
 */
class FanoutTree
{
public:
    /** Bound of the candidates per branch. */
    static constexpr std::size_t maxCandidates = 5;

    /**
     * Splits @p range into at most @p fanout (at least 1) branches with about the same number of members. A fan-out of
     * 1 gives two branches when there are members on both sides of @p self.
     * @p members is sorted by hash; members of other zones and @p self are skipped. Members that are not suspect
     * are tried first.
     */
    static std::vector<FanoutBranch> split(const MemberList &members,
                                           const std::string &zone,
                                           const HashRange &range,
                                           MemberHash self,
                                           std::size_t fanout);
};

} // namespace Hornbeam
