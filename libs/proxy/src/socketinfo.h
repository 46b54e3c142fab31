#pragma once

#include <cstdint>

namespace Hornbeam {

/** Bytes that the peer's kernel has acknowledged on this TCP connection, or 0 when unknown. */
std::uint64_t acknowledgedBytes(int socket);

} // namespace Hornbeam
