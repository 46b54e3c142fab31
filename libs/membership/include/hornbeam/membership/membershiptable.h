#pragma once

#include <hornbeam/membership/member.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace Hornbeam {

using MemberPtr = std::shared_ptr<const Member>;

/** Key of a member in the table; also orders members in fan-out ranges and table digests. */
using MemberHash = std::uint64_t;

/** Returns the first 8 bytes of the SHA-256 digest of a member id. */
MemberHash memberHash(std::string_view id);

struct ListedMember
{
    MemberHash hash = 0;
    MemberPtr member;
};

using MemberList = std::vector<ListedMember>;
using MemberListPtr = std::shared_ptr<const MemberList>;

/**
 * State of all members that a node knows, itself included. Control thread only.
 * A higher incarnation replaces a lower one. At the same incarnation the later state in the order Alive, Suspect,
 * Failed, Left wins. A configuration version never decreases. With these rules, merging the same updates in any order
 * gives the same state of a member.
 */
class MembershipTable
{
public:
    static constexpr std::size_t bucketCount = 256;
    using BucketDigests = std::array<std::uint32_t, bucketCount>;

    /** Called with the member before and after a change; null before an insertion and after a removal. */
    using Listener = std::function<void(const MemberPtr &before, const MemberPtr &after)>;

    MembershipTable();

    /**
     * Merges an update. Returns true when it was newer than the known state and should be forwarded. Updates to Failed
     * and Left keep the known zone, address and targets and are ignored for an unknown member.
     */
    bool merge(const Member &update);

    /** Records a configuration version that a member reported; ignored when it is lower or the member is unknown. */
    void recordConfigVersion(MemberHash hash, std::uint64_t version);

    /** Removes a member, for example one whose tombstone has expired. */
    void remove(MemberHash hash);

    /** Returns the member, or null. */
    MemberPtr find(MemberHash hash) const;

    /** Returns the alive and suspect members, sorted by hash. The list is immutable; any thread may read it. */
    MemberListPtr liveMembers() const;

    /** Returns all members including failed and left ones, sorted by hash. */
    MemberList allMembers() const;

    /** Calls @p visit for the members with a hash of at least @p first, in ascending order, until it returns false. */
    void visitFrom(MemberHash first, const std::function<bool(MemberHash, const MemberPtr &)> &visit) const;

    /** Digest of the hashes and incarnations of the live members; independent of the order of updates. */
    std::uint64_t digest() const
    {
        return m_digest;
    }

    /** Digest per bucket, shortened to 32 bits. The bucket of a member is the most significant byte of its hash. */
    const BucketDigests &bucketDigests() const
    {
        return m_buckets;
    }

    void subscribe(Listener listener);

private:
    void replace(MemberHash hash, const MemberPtr &member);
    void toggleDigest(MemberHash hash, const MemberPtr &member);

    std::map<MemberHash, MemberPtr> m_members;
    std::vector<Listener> m_listeners;
    std::uint64_t m_digest = 0;
    BucketDigests m_buckets{};
    mutable MemberListPtr m_liveMembers; ///< Cached result of liveMembers(); null after a change.
};

} // namespace Hornbeam
