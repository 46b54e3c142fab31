#pragma once

#include <hornbeam/config/snapshot.h>

#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** The changes that turn one snapshot into another. Immutable. */
class Delta
{
public:
    /** Computes the delta from @p base to @p target. */
    static Delta between(const Snapshot &base, const Snapshot &target);

    /** Decodes the output of encode(). InvalidArgument for malformed bytes. */
    static Result<Delta> decode(std::string_view bytes);

    std::string encode() const;

    ConfigVersion baseVersion() const
    {
        return m_baseVersion;
    }

    ConfigVersion targetVersion() const
    {
        return m_targetVersion;
    }

    const Digest &targetDigest() const
    {
        return m_targetDigest;
    }

    /**
     * Applies the delta. Conflict when the version or content of @p base is not the one that the delta was computed
     * from, InvalidArgument when the result is invalid or does not have the target digest.
     */
    Result<SnapshotPtr> applyTo(const Snapshot &base) const;

    /** Number of resources added, changed and removed. */
    std::size_t changeCount() const;

private:
    Delta() = default;

    ConfigVersion m_baseVersion = 0;
    ConfigVersion m_targetVersion = 0;
    Digest m_baseDigest;
    Digest m_targetDigest;
    SnapshotContent m_upserts;
    std::vector<std::string> m_removedServices;
    std::vector<std::string> m_removedRoutes;
    std::vector<LeavingTarget> m_removedLeavingTargets;
    std::vector<std::string> m_removedAccounts;
};

} // namespace Hornbeam
