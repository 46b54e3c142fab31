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
};

/** Waits for a slot of a target that is not in @p excluded, at the latest until the call's deadline. */
asio::awaitable<SlotGrant> waitForSlot(CallContext &call, std::vector<Endpoint> excluded);

/** Takes a slot of a target that is not in @p excluded if one is free now. */
SlotGrant takeFreeSlot(CallContext &call, std::vector<Endpoint> excluded);

/** The refusal for a request that got no slot. */
Refusal refusalFor(SlotResult result, CallContext &call);

} // namespace Hornbeam
