#pragma once

#include "upstreamexchange.h"

namespace Hornbeam {

/** Tells the outlier detector and the crash reporter how an attempt ended. */
void reportAttempt(CallContext &call, UpstreamExchange &exchange, AttemptStatus status);

/** Reports that the target has ended while it ran the request. */
void reportEndedTarget(CallContext &call, const Target &target);

/** Whether this node has recently seen the request crash a target. */
bool isCrashSuspect(CallContext &call);

/** Whether the request is quarantined, or this node has seen it crash two targets. */
bool isCrashCulprit(CallContext &call);

/** Clears a request that a target has answered completely. */
void clearCrashSuspicion(CallContext &call);

/**
 * Waits before the response to a request whose target crashed, so that the report of the crash reaches the other nodes
 * before the caller can send the request again through one of them. Does nothing for other results of an attempt.
 */
asio::awaitable<void> waitForCrashReport(CallContext &call, AttemptStatus status);

/** The answer to the caller for an attempt that brought no response. */
Refusal refusalFor(AttemptStatus status, CallContext &call);

} // namespace Hornbeam
