#include <hornbeam/base/digest.h>

#include <openssl/sha.h>

#include <algorithm>
#include <charconv>

namespace Hornbeam {

Digest Digest::of(std::string_view bytes)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.m_bytes.data());
    return digest;
}

Digest Digest::fromBytes(std::string_view bytes)
{
    Digest digest;
    if (bytes.size() == digest.m_bytes.size()) {
        std::copy(bytes.begin(), bytes.end(), digest.m_bytes.begin());
    }
    return digest;
}

std::optional<Digest> Digest::fromHex(std::string_view text)
{
    Digest digest;
    if (text.size() != digest.m_bytes.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.m_bytes.size(); ++i) {
        const auto *const first = text.data() + 2 * i;
        const auto result = std::from_chars(first, first + 2, digest.m_bytes[i], 16);
        if (result.ec != std::errc() || result.ptr != first + 2) {
            return std::nullopt;
        }
    }
    // from_chars also accepts upper-case digits.
    return digest.hex() == text ? std::optional(digest) : std::nullopt;
}

std::string Digest::bytes() const
{
    return {m_bytes.begin(), m_bytes.end()};
}

std::string Digest::hex() const
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(m_bytes.size() * 2);
    for (const auto byte : m_bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return text;
}

std::uint64_t Digest::prefix() const
{
    std::uint64_t value = 0;
    for (int i = 0; i < 8; ++i) {
        value = value << 8 | m_bytes[i];
    }
    return value;
}

} // namespace Hornbeam
