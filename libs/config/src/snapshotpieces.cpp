#include "snapshotpieces.h"

#include "compression.h"
#include "wire.h"

#include <config.pb.h>

namespace Hornbeam {

namespace {

// On average, one resource in 512 ends a piece. At 80 bytes per route, a piece has 40 KB and a configuration of 1 MB
// about 25 pieces. Each head that watchers receive lists their digests, so fewer resources per piece give larger heads:
// with one resource in 128, 25,000 routes gave a head of 9 KB.
constexpr std::uint64_t meanResourcesPerPiece = 512;

// Ends a piece of unusually large resources; far below the store's limit of 1 MB per value.
constexpr std::size_t maxPieceBytes = 64U << 10;

// A piece ends with the resource that makes it reach maxPieceBytes, and no valid resource is larger than maxPieceBytes,
// so no piece is larger than this.
constexpr std::size_t maxUnpackedBytes = 2 * maxPieceBytes;

/** Collects resources into pieces; the hashes of the resources' ids determine the boundaries. */
class PieceBuilder
{
public:
    /** The unfinished piece, to which the next resource is to be added. */
    Wire::Content &current()
    {
        return m_message;
    }

    /**
     * Counts the size of the resource just added to the current piece, and finishes the piece if it has reached
     * maxPieceBytes or if the hash of @p resourceId is a multiple of meanResourcesPerPiece.
     *
     * @p resourceId is the kind and the name or address of the resource, for example "route swap", or "limits". These
     * texts must not change, because this would move the boundaries of the pieces of stored configurations.
     */
    void finishPieceIfComplete(const std::string &resourceId, std::size_t encodedSize)
    {
        m_bytes += encodedSize;
        if (m_bytes >= maxPieceBytes || Digest::of(resourceId).prefix() % meanResourcesPerPiece == 0) {
            finishPiece();
        }
    }

    std::vector<SnapshotPiece> take()
    {
        if (m_bytes > 0) {
            finishPiece();
        }
        return std::move(m_pieces);
    }

private:
    void finishPiece()
    {
        SnapshotPiece piece;
        piece.bytes = m_message.SerializeAsString();
        piece.digest = Digest::of(piece.bytes);
        m_pieces.push_back(std::move(piece));
        m_message.Clear();
        m_bytes = 0;
    }

    Wire::Content m_message;
    std::size_t m_bytes = 0;
    std::vector<SnapshotPiece> m_pieces;
};

} // namespace

std::string SnapshotPiece::pack() const
{
    return packBytes(bytes);
}

std::vector<SnapshotPiece> splitIntoPieces(const SnapshotContent &content)
{
    PieceBuilder builder;
    for (const auto &service : content.services) {
        auto &message = *builder.current().add_services();
        toWire(service, message);
        builder.finishPieceIfComplete("service " + service.name, message.ByteSizeLong());
    }
    for (const auto &route : content.routes) {
        auto &message = *builder.current().add_routes();
        toWire(route, message);
        builder.finishPieceIfComplete("route " + route.name, message.ByteSizeLong());
    }
    for (const auto &target : content.leavingTargets) {
        auto &message = *builder.current().add_leaving_targets();
        toWire(target, message);
        builder.finishPieceIfComplete("target " + message.address(), message.ByteSizeLong());
    }
    for (const auto &account : content.accounts) {
        auto &message = *builder.current().add_accounts();
        toWire(account, message);
        builder.finishPieceIfComplete("account " + account.name, message.ByteSizeLong());
    }
    if (content.limits != TrafficLimits()) {
        auto &message = *builder.current().mutable_limits();
        toWire(content.limits, message);
        builder.finishPieceIfComplete("limits", message.ByteSizeLong());
    }
    return builder.take();
}

Result<SnapshotPiece> unpackPiece(std::string_view packed, const Digest &expected)
{
    auto bytes = unpackBytes(packed, maxUnpackedBytes);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    if (Digest::of(*bytes) != expected) {
        return makeError(ErrorCode::InvalidArgument,
                         "the content of a configuration piece does not match the digest in its key");
    }
    return SnapshotPiece{.digest = expected, .bytes = *std::move(bytes)};
}

Result<void> appendPiece(const SnapshotPiece &piece, SnapshotContent &content)
{
    Wire::Content message;
    if (!parseWire(message, piece.bytes)) {
        return makeError(ErrorCode::InvalidArgument, "a configuration piece is malformed");
    }
    return appendFromWire(message, content);
}

} // namespace Hornbeam
