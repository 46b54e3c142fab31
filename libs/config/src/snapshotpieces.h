#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/config/snapshot.h>

#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** Consecutive resources of a configuration, stored under a key with the digest of their uncompressed encoding. */
struct SnapshotPiece
{
    Digest digest;
    std::string bytes; ///< Uncompressed encoding.

    /** Returns the value to be stored: the encoding, compressed if that makes it smaller. */
    std::string pack() const;
};

/**
 * Splits content into pieces of about 40 KB before compression. The boundaries depend on hashes of the resources' kinds
 * and names or addresses, so that changing a resource changes one piece, and adding or removing one changes at most
 * two. Only pieces that reach the size limit can affect more of those that follow.
 */
std::vector<SnapshotPiece> splitIntoPieces(const SnapshotContent &content);

/** Decompresses the result of SnapshotPiece::pack(). InvalidArgument for malformed input or when the digest is not @p
 * expected. */
Result<SnapshotPiece> unpackPiece(std::string_view packed, const Digest &expected);

/** Appends the resources of a piece to @p content. */
Result<void> appendPiece(const SnapshotPiece &piece, SnapshotContent &content);

} // namespace Hornbeam
