#pragma once

#include <hornbeam/json/jsonreader.h>
#include <hornbeam/membership/target.h>

#include <chrono>
#include <string_view>

namespace Hornbeam {

/** What a target reports about itself. */
struct Announcement
{
    /**
     * Without zone and gateway, which the node sets. When the instance number is 0, the node keeps the number of the
     * target that it already knows by this address and name, or else assigns a new one.
     */
    Target target;
    /** Time after which the target expires unless it announces itself again. 1..3600000 ms. */
    std::chrono::milliseconds timeToLive{0};
    /** Orders the announcements of one target instance; 0 if the target does not number its announcements. */
    std::uint64_t sequence = 0;
    double load = 0; ///< As reported by the target, 0..1000000. Informational only: it can be outdated or wrong.

    /**
     * Parses the body of an announcement for the target at @p address, a JSON object. Required are "service", "slots"
     * (1..10000) and "state" ("serving" or "leaving"), the fields of #target with these names, and "ttlMs" for
     * #timeToLive. Optional are "labels", "instance" and "name" for #target, "sequence" and "load". Returns all
     * problems if there are any.
     */
    static tl::expected<Announcement, JsonProblems> parse(const Endpoint &address, std::string_view json);
};

/** JSON form of a target, with all of its fields. */
nlohmann::json toJson(const Target &target);

} // namespace Hornbeam
