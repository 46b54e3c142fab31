#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/config/route.h>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/** A client account: the customer on whose behalf a request is made, identified by one of the account's keys. */
struct ClientAccount
{
    std::string name; ///< Unique; 1..128 printable ASCII characters without spaces. Sent to targets.
    std::vector<Digest> keyDigests = {}; ///< Sorted; SHA-256 of each key. The keys themselves are not kept.
    std::optional<Priority> priority = {}; ///< Replaces the priority of the route of a request.
    double ratePerSecond = 0; ///< Requests per second that all nodes together admit; 0 for no limit. 0..1e9.
    double burst = 0; ///< Requests that are admitted in addition after a pause; used only with a rate. 0..1e9.

    friend auto operator<=>(const ClientAccount &, const ClientAccount &) = default;
};

} // namespace Hornbeam
