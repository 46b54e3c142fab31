#pragma once

#include "callcontext.h"
#include "slotlease.h"
#include "slotrequest.h"

#include <vector>

namespace Hornbeam {

/** A slot, or the reason why none was granted. */
struct SlotGrant
{
    SlotResult result = SlotResult::NoTarget;
    SlotLease lease;
    Duration expectedWait = Duration::zero(); ///< At the granted target; without a slot, the shortest of all targets.
};

/** Waits for a slot of a target that is not in @p excluded, until the call's deadline or latest start. */
asio::awaitable<SlotGrant> waitForSlot(CallContext &call, std::vector<Endpoint> excluded);

/**
 * Waits for a slot for the first attempt of a request. If targets of any node have crashed while they ran the request,
 * it uses another one, unless there is none.
 */
asio::awaitable<SlotGrant> waitForFirstSlot(CallContext &call);

/** Takes a slot of a target that is not in @p excluded, without waiting in this node's queue. */
SlotGrant takeFreeSlot(CallContext &call, std::vector<Endpoint> excluded);

/** The refusal of a request that was not granted a slot. */
Refusal refusalFor(const SlotGrant &grant, CallContext &call);

/** A 503 refusal of a request that did not run, with a Retry-After. */
Refusal notRunRefusal(const char *reason, CallContext &call);

/** The refusal of a request that would outlast the stop of this node. */
Refusal stoppingRefusal(CallContext &call);

} // namespace Hornbeam
