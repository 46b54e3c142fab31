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

/** Position of a member in the table, in tree ranges and in digests. */
using MemberHash = std::uint64_t;

/** Returns the first 8 bytes of the digest of a member id. */
MemberHash memberHash(std::string_view id);

struct ListedMember
{
    MemberHash hash = 0;
    MemberPtr member;
};

using MemberList = std::vector<ListedMember>;
using MemberListPtr = std::shared_ptr<const MemberList>;

/**
 * What a node knows about all members, itself included. Control thread only.
 * A higher incarnation replaces a lower one. At the same incarnation the later state of Alive, Suspect, Failed, Left
 * wins. A configuration version never decreases. These rules give the same result in every order of the updates.
 */
class MembershipTable
{
public:
    static constexpr std::size_t bucketCount = 256;
    using BucketDigests = std::array<std::uint32_t, bucketCount>;

    /** Receives the member before and after a change; null before an insertion and after a removal. */
    using Listener = std::function<void(const MemberPtr &before, const MemberPtr &after)>;

    MembershipTable();

    /**
     * Merges an update. Returns true when it was newer than the known state and should be forwarded. Failed and Left
     * keep the known zone, address and targets; for an unknown member they are ignored.
     */
    bool merge(const Member &update);

    /** Notes a version that the member itself reported; ignored when lower or when the member is unknown. */
    void noteConfigVersion(MemberHash hash, std::uint64_t version);

    /** Removes a member, usually one that failed or left long ago. */
    void forget(MemberHash hash);

    /** Returns the member, or null. */
    MemberPtr find(MemberHash hash) const;

    /** Alive and suspect members, sorted by hash. The list is immutable and may be passed to other threads. */
    MemberListPtr liveMembers() const;

    /** All members including failed and left ones, sorted by hash. */
    MemberList allMembers() const;

    /** Calls @p visit for the members from @p first on, in order of their hash, until it returns false. */
    void visitFrom(MemberHash first, const std::function<bool(MemberHash, const MemberPtr &)> &visit) const;

    /** Digest over id and incarnation of the live members. Equal tables have equal digests. */
    std::uint64_t digest() const
    {
        return m_digest;
    }

    /** The same digest per bucket; the bucket of a member is the first byte of its hash. */
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
    mutable MemberListPtr m_liveMembers; ///< Null when it has to be rebuilt.
};

} // namespace Hornbeam
