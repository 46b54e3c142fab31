#include "snapshotpieces.h"

#include "compression.h"
#include "wire.h"

#include <config.pb.h>

namespace Hornbeam {

namespace {

// One resource in 512 ends a piece. At 80 bytes per route, a piece has 40 KB and a configuration of 1 MB about 25
// pieces. Their digests are part of each head that watchers receive; with 128, 25,000 routes gave a head of 9 KB.
constexpr std::uint64_t resourcesPerPiece = 512;

// Ends a piece whose resources are unusually large; far below the store's bound of 1 MB per value.
constexpr std::size_t maxPieceBytes = 64U << 10;

// A resource of the largest valid size adds less than this to a piece that has not reached maxPieceBytes.
constexpr std::size_t maxUnpackedBytes = 2 * maxPieceBytes;

/** Collects resources and ends a piece where their names say so. */
class Splitter
{
public:
    Wire::Content &open()
    {
        return m_message;
    }

    void added(const std::string &key, std::size_t encodedSize)
    {
        m_bytes += encodedSize;
        if (m_bytes >= maxPieceBytes || Digest::of(key).prefix() % resourcesPerPiece == 0) {
            close();
        }
    }

    std::vector<SnapshotPiece> take()
    {
        if (m_bytes > 0) {
            close();
        }
        return std::move(m_pieces);
    }

private:
    void close()
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
    Splitter splitter;
    for (const auto &service : content.services) {
        auto &message = *splitter.open().add_services();
        toWire(service, message);
        splitter.added("service " + service.name, message.ByteSizeLong());
    }
    for (const auto &route : content.routes) {
        auto &message = *splitter.open().add_routes();
        toWire(route, message);
        splitter.added("route " + route.name, message.ByteSizeLong());
    }
    for (const auto &target : content.leavingTargets) {
        auto &message = *splitter.open().add_leaving_targets();
        toWire(target, message);
        splitter.added("target " + message.address(), message.ByteSizeLong());
    }
    if (content.limits != TrafficLimits()) {
        auto &message = *splitter.open().mutable_limits();
        toWire(content.limits, message);
        splitter.added("limits", message.ByteSizeLong());
    }
    return splitter.take();
}

Result<SnapshotPiece> unpackPiece(std::string_view packed, const Digest &expected)
{
    auto bytes = unpackBytes(packed, maxUnpackedBytes);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    if (Digest::of(*bytes) != expected) {
        return makeError(ErrorCode::InvalidArgument, "a piece of the configuration has another digest than its key");
    }
    return SnapshotPiece{.digest = expected, .bytes = *std::move(bytes)};
}

Result<void> appendPiece(const SnapshotPiece &piece, SnapshotContent &content)
{
    Wire::Content message;
    if (!parseWire(message, piece.bytes)) {
        return makeError(ErrorCode::InvalidArgument, "a piece of the configuration is malformed");
    }
    return appendFromWire(message, content);
}

} // namespace Hornbeam
