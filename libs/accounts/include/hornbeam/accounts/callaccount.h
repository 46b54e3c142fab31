#pragma once

#include <hornbeam/config/route.h>

#include <compare>
#include <optional>
#include <string>

namespace Hornbeam {

/** The client account of a request, as the configuration had it when the request arrived. */
struct CallAccount
{
    std::string name; ///< Not empty.
    std::optional<Priority> priority = {}; ///< Replaces the priority of the route.
    bool inherited = false; ///< The account of the running request that makes this nested call.

    friend auto operator<=>(const CallAccount &, const CallAccount &) = default;
};

} // namespace Hornbeam
