#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/dissemination/hashrange.h>

#include <string>
#include <vector>

namespace Hornbeam {

/** Passes a new version on along the tree of a zone. */
struct PushRequest
{
    ConfigVersion version = 0;
    Digest contentDigest{};
    std::string delta{}; ///< Delta::encode(); empty when it is too large: the receiver then fetches from the sender.
    std::string zone{}; ///< Zone of the receiver.
    HashRange range{}; ///< Members of the zone that the receiver is responsible for.
    Endpoint sender{}; ///< Peer address to fetch from.
};

enum class PushOutcome {
    Applied,
    AlreadyCurrent, ///< The receiver has this or a higher version.
    Fetching, ///< The receiver fetches the version and then passes it on.
    Refused, ///< The receiver does not pass it on, for example because the version is invalid.
};

struct PushReply
{
    PushOutcome outcome = PushOutcome::Refused;
    ConfigVersion version = 0; ///< The receiver's version after the push.
};

/** Asks for the newest version. */
struct FetchRequest
{
    ConfigVersion haveVersion = 0; ///< 0 asks for a whole snapshot.
    Digest haveDigest{}; ///< Content digest of that version.
};

/** Either deltas that lead from the version of the request to the newest one, or a snapshot, or neither. */
struct FetchReply
{
    ConfigVersion version = 0; ///< The newest version of the peer.
    std::vector<std::string> deltas{}; ///< Delta::encode(), in the order in which they apply.
    std::string snapshot{}; ///< Snapshot::encode().
};

} // namespace Hornbeam
