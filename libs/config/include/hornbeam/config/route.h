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
    High, ///< Interactive or urgent requests, for example badge lookups and bookings.
    Normal,
    Low, ///< Bulk work, for example exports.
};

/** How a repetition of a non-idempotent request is recognised. */
enum class RequestIdentitySource {
    Header, ///< The Idempotency-Key header; a request without it is refused.
    Content, ///< A digest of caller, method, path and body; for clients that send no key.
    Attempt, ///< Not at all: each attempt of a client is a separate request, which runs at most once.
};

/** Assigns a share of a route's requests to a service. */
struct RouteSplit
{
    std::string service; ///< Name of an existing service.
    std::uint32_t weight = 1; ///< Relative to the sum of the route's weights. 0..1000000.

    friend auto operator<=>(const RouteSplit &, const RouteSplit &) = default;
};

/** Maps matching requests to a service. The route with the longest matching path prefix is used. */
struct Route
{
    std::string name; ///< Unique; 1..128 characters of [a-z0-9-].
    std::string host = {}; ///< Host header to match, without port; empty matches all.
    std::string pathPrefix = "/"; ///< Starts with '/'; only "/" itself ends with one. Matches whole path segments.
    std::vector<std::string> methods = {}; ///< Sorted, upper case; empty matches all.
    std::string service = {}; ///< Name of an existing service; unused when there are splits.
    std::vector<Label> requiredLabels = {}; ///< Sorted; only targets that have all of them serve the route.
    bool idempotent = true; ///< When false, a request runs at most once; see RequestIdentitySource.
    RequestIdentitySource identity = RequestIdentitySource::Header;
    Priority priority = Priority::Normal;
    std::chrono::milliseconds timeout{10000}; ///< Deadline when the caller sets none. 10..3600000.
    std::vector<RouteSplit> splits = {}; ///< Sorted by service; empty when all requests go to one service.
    std::uint32_t attempts = 3; ///< How many attempts of an idempotent request may reach a target. 1..16.
    bool onlyBelow = false; ///< Matches only paths below the prefix: for "/a", "/a/" and "/a/b" but not "/a".
    bool bulk = false; ///< Responses are large: targets in the caller's zone are preferred while they have capacity.
    std::chrono::milliseconds latencyObjective{0}; ///< Later responses are worth less to the caller; 0 for none.
    bool anonymous = false; ///< Requests need no client account, and have none even if they carry a key.

    friend auto operator<=>(const Route &, const Route &) = default;
};

} // namespace Hornbeam
