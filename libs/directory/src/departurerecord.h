#pragma once

#include <hornbeam/membership/departure.h>

#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** Encodes departures as the value of a key. */
std::string encodeDepartures(const std::vector<Departure> &departures);

/** Returns the departures in the value of a key. Skips entries that are malformed or have a field out of range. */
std::vector<Departure> decodeDepartures(std::string_view value);

} // namespace Hornbeam
