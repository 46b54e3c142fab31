#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/error.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/store/storegeneration.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** The store's record of the accepted version. A configuration is accepted by a compare-and-swap of this value. */
struct ConfigHead
{
    ConfigVersion version = 0;
    std::string planId; ///< Id of the plan that produced the version; empty for version 0.
    Digest contentDigest; ///< Digest of the whole content.
    std::vector<Digest> pieceDigests; ///< Digests of the content's pieces, in order.
    std::int64_t modRevision = 0; ///< Store revision that last modified the head; 0 when there is none. Not encoded.
    std::optional<StoreGeneration> generation{}; ///< Store generation of the revision, if known. Not encoded.

    /** Version 0 with the digest of an empty content, for a store without a head. */
    static ConfigHead none();

    /** Decodes the value of the head key. InvalidArgument for malformed bytes. */
    static Result<ConfigHead> decode(std::string_view bytes, std::int64_t modRevision);

    std::string encode() const;

    /** Whether @p snapshot is the accepted version. */
    bool describes(const Snapshot &snapshot) const
    {
        return snapshot.version() == version && snapshot.contentDigest() == contentDigest;
    }

    friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

} // namespace Hornbeam
