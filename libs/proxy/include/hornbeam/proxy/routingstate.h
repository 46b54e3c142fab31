#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/membership/target.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

/**
 * Everything a traffic thread reads to route a request: one configuration version, the live targets and the
 * quarantined requests. Immutable; a request keeps the state it started with.
 */
struct RoutingState
{
    SnapshotPtr snapshot;
    std::vector<Target> targets; ///< Live targets of all services, sorted by service, then address; none leaving.
    std::vector<Digest> quarantined; ///< Sorted digests of requests that crash their targets.
    bool ready = false; ///< False until the node knows the configuration floor; calls are refused until then.

    /** Returns the targets of a service as a range of @c targets. */
    std::pair<std::vector<Target>::const_iterator, std::vector<Target>::const_iterator> targetsOf(
        std::string_view service) const;
};

using RoutingStatePtr = std::shared_ptr<const RoutingState>;

} // namespace Hornbeam
