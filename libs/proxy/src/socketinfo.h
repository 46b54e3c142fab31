#pragma once

#include <cstdint>

namespace Hornbeam {

/** Number of bytes that the peer has acknowledged on this TCP connection; 0 if unknown. */
std::uint64_t acknowledgedBytes(int socket);

/**
 * Makes the kernel close a TCP connection whose peer acknowledges neither data nor keepalive probes. Otherwise, both
 * ends stay open undetected when the link between them breaks. Returns whether all options were set.
 */
bool setLinkTimeouts(int socket);

} // namespace Hornbeam
