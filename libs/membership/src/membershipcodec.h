#pragma once

#include <hornbeam/membership/member.h>
#include <hornbeam/membership/payload.h>
#include <hornbeam/membership/rumor.h>

#include "membership.pb.h"

#include <optional>
#include <string_view>

namespace Hornbeam {

namespace Wire = hornbeam::membership::wire;

/** Maximum size of a datagram; below the minimum MTU of IPv6 (1280 bytes), so that no datagram is fragmented. */
constexpr std::size_t maxDatagramBytes = 1200;

/** Maximum incarnation. A corrupt higher one would make all later updates of that member look old. */
constexpr std::uint64_t maxIncarnation = 1ULL << 48;

/** Parses and validates a datagram. Returns nothing if it is too large, malformed or has a value out of range. */
std::optional<Wire::Datagram> decodeDatagram(std::string_view bytes);

/** Converts a member. An update for a failed or left one has only id, incarnation and state. */
Wire::MemberUpdate toWire(const Member &member);

/** Converts an update from a datagram that decodeDatagram() accepted. */
Member fromWire(const Wire::MemberUpdate &update);

Wire::Rumor toWire(const Rumor &rumor);

Rumor fromWire(const Wire::Rumor &rumor, bool refuted);

/** Adds the rumor to the list of the datagram to which it belongs. */
void append(Wire::Datagram &datagram, const Rumor &rumor);

/** Parses an address from a datagram that decodeDatagram() accepted. */
Endpoint endpointFromWire(const std::string &text);

} // namespace Hornbeam
