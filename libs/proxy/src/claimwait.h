#pragma once

#include "callcontext.h"

#include <hornbeam/claims/claimcoordinator.h>

namespace Hornbeam {

/**
 * Requests the claim to run a request. If the coordinator does not call back in time, the result is NotRun, and a claim
 * that it grants later is released.
 */
asio::awaitable<ClaimDecision> waitForClaim(CallContext &call, const Digest &identity);

} // namespace Hornbeam
