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
    Suspect, ///< Did not answer a probe; the member can refute with a higher incarnation.
    Failed,
    Left, ///< Announced a planned stop.
};

/** State of one node in the membership table. */
struct Member
{
    std::string id; ///< Unique per process start.
    std::string zone{};
    Endpoint peerAddress{}; ///< Address for gRPC (TCP) and the membership protocol (UDP).
    std::uint64_t incarnation = 0; ///< Incremented by each refutation and each change of the announced state.
    MemberState state = MemberState::Alive;
    std::uint64_t configVersion = 0; ///< Highest version that the member reported.
    bool storeWatcher = false; ///< Whether the member watches the store.
    std::vector<Target> targets{}; ///< Targets on the member's host, sorted by address.

    friend bool operator==(const Member &, const Member &) = default;
};

} // namespace Hornbeam
