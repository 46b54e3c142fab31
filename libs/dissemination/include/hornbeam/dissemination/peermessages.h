#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/dissemination/hashrange.h>

#include <string>
#include <vector>

namespace Hornbeam {

/** Pushes a new version to a node, which forwards it along the fan-out tree of its zone. */
struct PushRequest
{
    ConfigVersion version = 0;
    Digest contentDigest{};
    std::string delta{}; ///< Delta::encode(); empty if it is too large: the receiver then fetches from the sender.
    std::string zone{}; ///< Zone of the receiver.
    HashRange range{}; ///< The receiver forwards the push to the members of its zone in this range.
    Endpoint sender{}; ///< Peer address of the sender, for fetches.
};

enum class PushOutcome {
    Applied,
    AlreadyCurrent, ///< The receiver already has this version or a higher one.
    Fetching, ///< The receiver fetches the version and then forwards the push.
    Refused, ///< The receiver does not forward the push, for example because the version is invalid.
};

struct PushReply
{
    PushOutcome outcome = PushOutcome::Refused;
    ConfigVersion version = 0; ///< The receiver's version after the push.
};

/** Requests the newest version of a peer. */
struct FetchRequest
{
    ConfigVersion haveVersion = 0; ///< 0 requests a full snapshot.
    Digest haveDigest{}; ///< Content digest of that version.
};

/** Contains deltas from the version of the request to the newest one, or a snapshot, or neither if nothing is newer. */
struct FetchReply
{
    ConfigVersion version = 0; ///< The newest version of the peer.
    std::vector<std::string> deltas{}; ///< Delta::encode(), in the order in which they apply.
    std::string snapshot{}; ///< Snapshot::encode().
};

} // namespace Hornbeam
