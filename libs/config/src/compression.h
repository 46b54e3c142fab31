#pragma once

#include <hornbeam/base/error.h>

#include <string>
#include <string_view>

namespace Hornbeam {

/** Prepends a format byte to @p bytes, which are compressed when that makes them smaller. */
std::string packBytes(std::string_view bytes);

/** Reverses packBytes(). InvalidArgument for malformed input or when the result would exceed @p maxBytes. */
Result<std::string> unpackBytes(std::string_view packed, std::size_t maxBytes);

} // namespace Hornbeam
