#pragma once

#include <cstddef>
#include <string>

namespace Hornbeam {

/** Maximum size of the content of a payload, which leaves room for the header of the datagram. */
constexpr std::size_t maxPayloadBytes = 1000;

/** Identifies the library to which a payload belongs. */
enum class PayloadKind {
    RateLimits = 1,
    Rollouts = 2,
};

/** A message of another library from one member to another; unreliable and unordered. */
struct Payload
{
    std::string sender; ///< Id of the member.
    PayloadKind kind = PayloadKind::RateLimits;
    std::string content; ///< At most maxPayloadBytes.
};

} // namespace Hornbeam
