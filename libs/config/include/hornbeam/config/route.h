#pragma once

#include <hornbeam/config/label.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Hornbeam {

/** Order in which queued requests are admitted under overload. */
enum class Priority {
    High, ///< Interactive and urgent, for example badge lookups and bookings.
    Normal,
    Low, ///< Bulk work, for example exports.
};

/** How a non-idempotent request is recognised when its caller sends it again. */
enum class RequestIdentitySource {
    Header, ///< The Idempotency-Key header; a request without it is refused.
    Content, ///< A digest of caller, method, path and body; for clients that send no key.
    Attempt, ///< None: each attempt of a client is a request of its own, and runs at most once.
};

/** The share of a route's requests that one of its services gets. */
struct RouteSplit
{
    std::string service; ///< Name of an existing service.
    std::uint32_t weight = 1; ///< Share among the route's splits. 0..1000000.

    friend auto operator<=>(const RouteSplit &, const RouteSplit &) = default;
};

/** Leads requests that match it to a service. The route with the longest matching path prefix wins. */
struct Route
{
    std::string name; ///< Unique; 1..128 characters of [a-z0-9-].
    std::string host = {}; ///< Host header to match, without port; empty matches all.
    std::string pathPrefix =
        "/"; ///< Starts with '/'; matches whole path segments. With a '/' at its end, only paths below.
    std::vector<std::string> methods = {}; ///< Sorted, upper case; empty matches all.
    std::string service = {}; ///< Name of an existing service; unused when there are splits.
    std::vector<Label> requiredLabels = {}; ///< Sorted; only targets with all of them serve the route.
    bool idempotent = true; ///< False: runs at most once, see RequestIdentitySource.
    RequestIdentitySource identity = RequestIdentitySource::Header;
    Priority priority = Priority::Normal;
    std::chrono::milliseconds timeout{10000}; ///< Deadline when the caller sets none. 10..3600000.
    std::vector<RouteSplit> splits = {}; ///< Sorted by service; empty when all requests go to one service.
    std::uint32_t attempts = 3; ///< Most targets that may run one request of an idempotent route. 1..16.
    bool onlyBelow = false; ///< The path that equals the prefix does not match, only those with further segments.
    bool bulk = false; ///< Responses are large, so they stay in the zone of their caller while there is room.
    std::chrono::milliseconds latencyObjective{0}; ///< Responses after this time are worth less; 0 for none.

    friend auto operator<=>(const Route &, const Route &) = default;
};

} // namespace Hornbeam
