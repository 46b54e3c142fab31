#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/membership/target.h>
#include <hornbeam/proxy/suspectrequest.h>
#include <hornbeam/rollouts/versionrule.h>

#include <memory>
#include <vector>

namespace Hornbeam {

/**
 * The data that traffic threads need to route requests: one configuration version, the live targets and the quarantined
 * requests. Immutable; a request uses one state from its start to its end.
 */
struct RoutingState
{
    SnapshotPtr snapshot;
    std::vector<Target> targets; ///< Live targets, except leaving ones, sorted by service and address.
    std::vector<Digest> quarantined; ///< Sorted digests of the quarantined requests.
    std::vector<SuspectRequest> suspects; ///< Sorted by digest; sent to other targets, and reported when they succeed.
    std::vector<Target> localTargets; ///< Targets on this host that accept new requests, also relayed ones.
    std::vector<VersionRule> versions; ///< Which versions requests may use, for services with a rule.
    std::size_t nodes = 1; ///< Live nodes including this one; they share the retry budget.
    /** False until the node knows the lowest configuration version that it may use; requests are refused until then. */
    bool ready = false;
};

using RoutingStatePtr = std::shared_ptr<const RoutingState>;

} // namespace Hornbeam
