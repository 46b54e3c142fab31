#include <hornbeam/base/digest.h>

#include <openssl/sha.h>

#include <algorithm>

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
