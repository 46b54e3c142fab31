#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/membership/target.h>

#include <memory>
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
    std::vector<Target> ownTargets; ///< Targets on this host that take new requests, also through the relay listener.
    std::size_t nodes = 1; ///< Live nodes, this one included; they share the retry budget.
    bool ready = false; ///< False until the node knows the configuration floor; calls are refused until then.
};

using RoutingStatePtr = std::shared_ptr<const RoutingState>;

} // namespace Hornbeam
