#pragma once

#include "callcontext.h"
#include "slotlease.h"
#include "slotrequest.h"

#include <vector>

namespace Hornbeam {

/** A slot, or why there is none. */
struct SlotGrant
{
    SlotResult result = SlotResult::NoTarget;
    SlotLease lease;
    Duration expectedWait = Duration::zero(); ///< At the granted target, or the shortest one without a slot.
};

/** Waits for a slot of a target that is not in @p excluded, at the latest until the call's deadline. */
asio::awaitable<SlotGrant> waitForSlot(CallContext &call, std::vector<Endpoint> excluded);

/** Takes a slot of a target that is not in @p excluded if one is free now. */
SlotGrant takeFreeSlot(CallContext &call, std::vector<Endpoint> excluded);

/** The refusal for a request that got no slot. */
Refusal refusalFor(const SlotGrant &grant, CallContext &call);

/** The refusal of a request that did not run, with the time after which its caller should come back. */
Refusal notRunRefusal(const char *reason, CallContext &call);

} // namespace Hornbeam
