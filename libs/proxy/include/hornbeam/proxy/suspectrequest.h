#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>

#include <compare>
#include <vector>

namespace Hornbeam {

/** A request that has crashed targets, as far as is known, and has not succeeded since. */
struct SuspectRequest
{
    Digest request;
    std::vector<Endpoint> targets; ///< Targets that crashed while they ran the request, in the order of the crashes.

    friend auto operator<=>(const SuspectRequest &, const SuspectRequest &) = default;
};

} // namespace Hornbeam
