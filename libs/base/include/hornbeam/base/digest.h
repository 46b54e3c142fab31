#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam {

/** A SHA-256 digest. */
class Digest
{
public:
    /** The all-zero digest, which callers use for "none". */
    Digest() = default;

    /** Returns the digest of @p bytes. */
    static Digest of(std::string_view bytes);

    /** Reads 32 raw bytes; any other length gives the all-zero digest, like the default constructor. */
    static Digest fromBytes(std::string_view bytes);

    /** Reads the result of hex(); nothing for any other text. */
    static std::optional<Digest> fromHex(std::string_view text);

    /** The 32 raw bytes. */
    std::string bytes() const;

    /** 64 lower-case hexadecimal digits. */
    std::string hex() const;

    /** The first 8 bytes as a big-endian number, for use as a 64-bit hash value. */
    std::uint64_t prefix() const;

    friend auto operator<=>(const Digest &, const Digest &) = default;

private:
    std::array<unsigned char, 32> m_bytes{};
};

} // namespace Hornbeam
