#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/membership/target.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Hornbeam {

enum class MemberState {
    Alive,
    Suspect, ///< Missed a probe; it can refute with a higher incarnation.
    Failed,
    Left, ///< Shut down as planned.
};

/** A node as the membership knows it. */
struct Member
{
    std::string id; ///< Unique per process start.
    std::string zone{};
    Endpoint peerAddress{}; ///< Address of gRPC (TCP) and membership (UDP).
    std::uint64_t incarnation = 0; ///< Grows with each refutation and each change of the targets.
    MemberState state = MemberState::Alive;
    std::uint64_t configVersion = 0; ///< Newest version that the member reported.
    bool storeWatcher = false; ///< Holds a lease to watch the store for its zone.
    std::vector<Target> targets{}; ///< Targets on the member's host, sorted by address.

    friend bool operator==(const Member &, const Member &) = default;
};

} // namespace Hornbeam
