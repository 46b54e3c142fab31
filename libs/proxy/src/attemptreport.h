#pragma once

#include "upstreamexchange.h"

namespace Hornbeam {

/** Reports the result of an attempt to the load balancer and, if the target crashed, to the crash reporter. */
void reportAttempt(CallContext &call, UpstreamExchange &exchange, AttemptStatus status);

/** Reports that the target's process exited while it ran the request. */
void reportCrashedTarget(CallContext &call, const Target &target);

/** Whether a target crashed on this node's attempt of the request within the crash window. */
bool isCrashSuspect(CallContext &call);

/** Whether the request is quarantined, or two targets crashed on attempts of this node. */
bool isCrashQuarantined(CallContext &call);

/** Clears the crash suspicion of a request to which a target has responded completely. */
void clearCrashSuspicion(CallContext &call);

/**
 * Delays the response to a request whose target crashed, so that the crash report reaches the other nodes before the
 * caller can repeat the request through one of them. Returns immediately unless @p status is Broken.
 */
asio::awaitable<void> waitForCrashReport(CallContext &call, AttemptStatus status);

/** The refusal for an attempt that got no response. */
Refusal refusalFor(AttemptStatus status, CallContext &call);

} // namespace Hornbeam
