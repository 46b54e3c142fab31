#include "departurerecord.h"

#include <hornbeam/json/jsonreader.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

using nlohmann::json;

constexpr std::size_t maxNameBytes = 128;

/** More than a node writes, see TargetRegistry::departures(). */
constexpr std::size_t maxEntries = 256;

} // namespace

std::string encodeDepartures(const std::vector<Departure> &departures)
{
    json list = json::array();
    for (const auto &it : departures) {
        list.push_back({{"name", it.name}, {"instance", it.instance}, {"sequence", it.sequence}});
    }
    // A name is what a target sent, which need not be valid UTF-8.
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<Departure> decodeDepartures(std::string_view value)
{
    std::vector<Departure> departures;
    const auto list = parseJson(value);
    if (!list || !list->is_array()) {
        return departures;
    }
    for (const auto &entry : *list) {
        JsonProblems problems;
        JsonReader reader(entry, "$", problems);
        const Departure departure{.name = reader.string("name"),
                                  .instance = reader.unsignedNumber("instance", {}),
                                  .sequence = reader.unsignedNumber("sequence", {})};
        const bool valid = problems.empty() && !departure.name.empty() && departure.name.size() <= maxNameBytes;
        if (valid && departures.size() < maxEntries) {
            departures.push_back(departure);
        }
    }
    return departures;
}

} // namespace Hornbeam
