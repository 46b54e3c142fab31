#pragma once

#include <hornbeam/json/jsonreader.h>
#include <hornbeam/membership/target.h>

#include <chrono>
#include <string_view>

namespace Hornbeam {

/** What a target reports about itself. */
struct Announcement
{
    Target target; ///< Without a zone, which the node adds. For instance 0, the node keeps or assigns the number.
    std::chrono::milliseconds timeToLive{0}; ///< The target expires without another announcement. 1..3600000.
    std::uint64_t sequence = 0; ///< Orders the announcements of one target instance; 0 if it does not number them.
    double load = 0; ///< As reported by the target, 0..1000000. Informational only: it can be outdated or wrong.

    /**
     * Parses the body of an announcement for the target at @p address. JSON: "service", "slots", "state" ("serving" or
     * "leaving") and "ttlMs" are required, "labels", "load", "instance", "sequence" and "name" are optional. Returns
     * all problems if there are any.
     */
    static tl::expected<Announcement, JsonProblems> parse(const Endpoint &address, std::string_view json);
};

/** JSON form of a target, with all of its fields. */
nlohmann::json toJson(const Target &target);

} // namespace Hornbeam
