#pragma once

#include <cstdint>

namespace Hornbeam {

/** Bytes that the peer's kernel has acknowledged on this TCP connection, or 0 when unknown. */
std::uint64_t acknowledgedBytes(int socket);

/**
 * Makes the kernel end a TCP connection whose peer does not acknowledge what was sent, or does not answer the probes of
 * an idle connection: behind a broken link, both ends otherwise stay open without a sign. Returns whether it was set.
 */
bool setLinkTimeouts(int socket);

} // namespace Hornbeam
