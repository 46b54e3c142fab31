#pragma once

#include <hornbeam/base/endpoint.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** What every membership message says about its sender. */
struct Heartbeat
{
    std::string id;
    Endpoint peerAddress;
    std::uint64_t configVersion = 0;
    std::uint64_t configDigestPrefix = 0; ///< Digest::prefix() of the content of that version.

    friend auto operator<=>(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace Hornbeam
