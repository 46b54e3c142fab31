#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam {

/** Encodes bytes as base64 with padding (RFC 4648, section 4). */
std::string encodeBase64(std::string_view bytes);

/** Decodes base64 with padding. Returns std::nullopt when the text is malformed. */
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Hornbeam
