#include "compression.h"

#include <zstd.h>

namespace Hornbeam {

namespace {

constexpr char formatRaw = 0;
constexpr char formatZstd = 1;

// For smaller input the zstd frame header outweighs the savings.
constexpr std::size_t minCompressBytes = 128;

constexpr int compressionLevel = 3;

} // namespace

std::string packBytes(std::string_view bytes)
{
    if (bytes.size() >= minCompressBytes) {
        std::string packed(1 + ZSTD_compressBound(bytes.size()), formatZstd);
        const auto n =
            ZSTD_compress(packed.data() + 1, packed.size() - 1, bytes.data(), bytes.size(), compressionLevel);
        if (ZSTD_isError(n) == 0 && n < bytes.size()) {
            packed.resize(1 + n);
            return packed;
        }
    }
    std::string packed(1, formatRaw);
    packed.append(bytes);
    return packed;
}

Result<std::string> unpackBytes(std::string_view packed, std::size_t maxBytes)
{
    if (packed.empty()) {
        return makeError(ErrorCode::InvalidArgument, "the encoding is empty");
    }
    const auto body = packed.substr(1);
    if (packed.front() == formatRaw) {
        if (body.size() > maxBytes) {
            return makeError(ErrorCode::InvalidArgument, "the encoding is too large");
        }
        return std::string(body);
    }
    if (packed.front() != formatZstd) {
        return makeError(ErrorCode::InvalidArgument, "the encoding has an unknown format");
    }
    // Checks the size in the frame header before allocating memory for the result.
    const auto size = ZSTD_getFrameContentSize(body.data(), body.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxBytes) {
        return makeError(ErrorCode::InvalidArgument, "the uncompressed size is missing, malformed or too large");
    }
    std::string bytes(size, '\0');
    const auto n = ZSTD_decompress(bytes.data(), bytes.size(), body.data(), body.size());
    if (ZSTD_isError(n) != 0 || n != size) {
        return makeError(ErrorCode::InvalidArgument, "the compressed encoding is malformed");
    }
    return bytes;
}

} // namespace Hornbeam
