#pragma once

#include "callcontext.h"

#include <hornbeam/claims/claimcoordinator.h>

namespace Hornbeam {

/**
 * Asks for the right to run a request. A coordinator that does not call back by the deadline counts as "not run"; a
 * claim that it grants later is given back.
 */
asio::awaitable<ClaimDecision> waitForClaim(CallContext &call, const Digest &identity);

} // namespace Hornbeam
