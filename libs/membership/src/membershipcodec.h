#pragma once

#include <hornbeam/membership/member.h>
#include <hornbeam/membership/rumor.h>

#include "membership.pb.h"

#include <optional>
#include <string_view>

namespace Hornbeam {

namespace Wire = hornbeam::membership::wire;

/** Bound of a datagram; below the smallest path MTU of IPv6 (1280 bytes), so no datagram is fragmented. */
constexpr std::size_t maxDatagramBytes = 1200;

/** Bound of an incarnation. A larger one is a fault and would block every later change of that member. */
constexpr std::uint64_t maxIncarnation = 1ULL << 48;

/** Parses and checks a datagram. Nothing for a datagram that is too large, malformed or has a value out of range. */
std::optional<Wire::Datagram> decodeDatagram(std::string_view bytes);

/** Converts a member; a failed or left one without its content. */
Wire::MemberUpdate toWire(const Member &member);

/** Converts an update of a datagram that decodeDatagram() accepted. */
Member fromWire(const Wire::MemberUpdate &update);

Wire::Rumor toWire(const Rumor &rumor);

Rumor fromWire(const Wire::Rumor &rumor);

/** Parses an address of a datagram that decodeDatagram() accepted. */
Endpoint endpointFromWire(const std::string &text);

} // namespace Hornbeam
