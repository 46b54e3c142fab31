#pragma once

#include <hornbeam/base/endpoint.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** State of the sender that every membership datagram reports. */
struct Heartbeat
{
    std::string id;
    Endpoint peerAddress;
    std::uint64_t configVersion = 0;
    std::uint64_t configDigestPrefix = 0; ///< Digest::prefix() of the configuration's content digest.

    friend auto operator<=>(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace Hornbeam
