#pragma once

#include <hornbeam/config/label.h>

#include <chrono>
#include <compare>
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
};

/** Leads requests that match it to a service. The route with the longest matching path prefix wins. */
struct Route
{
    std::string name; ///< Unique; 1..128 characters of [a-z0-9-].
    std::string host = {}; ///< Host header to match, without port; empty matches all.
    std::string pathPrefix = "/"; ///< Starts with '/'; matches whole path segments.
    std::vector<std::string> methods = {}; ///< Sorted, upper case; empty matches all.
    std::string service = {}; ///< Name of an existing service.
    std::vector<Label> requiredLabels = {}; ///< Sorted; only targets with all of them serve the route.
    bool idempotent = true; ///< False: runs at most once, see RequestIdentitySource.
    RequestIdentitySource identity = RequestIdentitySource::Header;
    Priority priority = Priority::Normal;
    std::chrono::milliseconds timeout{10000}; ///< Deadline when the caller sets none. 10..3600000.

    friend auto operator<=>(const Route &, const Route &) = default;
};

} // namespace Hornbeam
