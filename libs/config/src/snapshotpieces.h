#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/config/snapshot.h>

#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** A run of resources of a configuration, stored under the digest of its uncompressed encoding. */
struct SnapshotPiece
{
    Digest digest;
    std::string bytes; ///< Uncompressed encoding.

    /** The value in the store. */
    std::string pack() const;
};

/**
 * Splits a content into pieces of about 10 KB. The ends follow from hashes of the resources' names, so a change of one
 * resource changes one piece, and an added or removed one at most two.
 */
std::vector<SnapshotPiece> splitIntoPieces(const SnapshotContent &content);

/** Reverses SnapshotPiece::pack(). InvalidArgument when the content does not have the digest @p expected. */
Result<SnapshotPiece> unpackPiece(std::string_view packed, const Digest &expected);

/** Appends the resources of a piece to @p content. */
Result<void> appendPiece(const SnapshotPiece &piece, SnapshotContent &content);

} // namespace Hornbeam
