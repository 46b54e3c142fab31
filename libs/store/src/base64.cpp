#include <hornbeam/store/base64.h>

#include <array>
#include <cstdint>

namespace Hornbeam {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t invalid = 0xff;

std::array<std::uint8_t, 256> makeDecodeTable()
{
    std::array<std::uint8_t, 256> table{};
    table.fill(invalid);
    for (std::size_t i = 0; i < alphabet.size(); ++i) {
        table[static_cast<unsigned char>(alphabet[i])] = static_cast<std::uint8_t>(i);
    }
    return table;
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        text.push_back(alphabet[group >> 18]);
        text.push_back(alphabet[group >> 12 & 63]);
        text.push_back(i + 1 < bytes.size() ? alphabet[group >> 6 & 63] : '=');
        text.push_back(i + 2 < bytes.size() ? alphabet[group & 63] : '=');
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    static const auto table = makeDecodeTable();
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    for (std::size_t i = 0; i < text.size(); i += 4) {
        std::uint32_t group = 0;
        for (std::size_t k = i; k < i + 4; ++k) {
            const bool pad = k >= text.size() - padding;
            const auto digit = pad ? std::uint8_t{0} : table[static_cast<unsigned char>(text[k])];
            if (digit == invalid) {
                return std::nullopt;
            }
            group = group << 6 | digit;
        }
        bytes.push_back(static_cast<char>(group >> 16 & 255));
        bytes.push_back(static_cast<char>(group >> 8 & 255));
        bytes.push_back(static_cast<char>(group & 255));
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace Hornbeam
