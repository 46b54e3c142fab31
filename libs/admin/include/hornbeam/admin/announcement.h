#pragma once

#include <hornbeam/json/jsonreader.h>
#include <hornbeam/membership/target.h>

#include <chrono>
#include <string_view>

namespace Hornbeam {

/** What a target reports about itself. */
struct Announcement
{
    Target target; ///< Its zone is empty: the node fills in its own. Instance 0 leaves the number to the node.
    std::chrono::milliseconds timeToLive{0}; ///< The target is forgotten without another announcement. 1..3600000.
    std::uint64_t sequence = 0; ///< Orders the announcements of one start of a target; 0 when it does not count them.
    double load = 0; ///< The target's own figure, 0..1000000. Informative only; it can lag or mislead.

    /**
     * Parses the body of an announcement for the target at @p address. JSON: "service", "slots", "state" ("serving" or
     * "leaving") and "ttlMs" are required, "labels", "load" and "instance" are optional. Returns all problems when
     * there is one.
     */
    static tl::expected<Announcement, JsonProblems> parse(const Endpoint &address, std::string_view json);
};

/** JSON form of a target: address, service, zone, slots, labels, state and instance. */
nlohmann::json toJson(const Target &target);

} // namespace Hornbeam
