#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <string_view>

namespace Hornbeam {

/** A decision about a request and its reasons. The string views are valid only during RequestLog::record(). */
struct RequestEvent
{
    std::string_view id; ///< Identifier that the caller sent; empty if it sent none.
    std::string_view route;
    std::string_view service;
    std::string_view target; ///< Name or address of the last target; empty if none was chosen.
    std::string_view decision; ///< "refused", "failed", "repeated", "moved" or "cancelled".
    std::string_view reason;
    int status = 0; ///< HTTP status of the response to the caller or of the target; 0 if there is none.
    std::uint64_t configVersion = 0; ///< Configuration version with which the request was routed.
    std::size_t rank = 0; ///< Admission order, see AdmissionRank.
    Duration age{0}; ///< Time since the request arrived.
    Duration timeLeft{0}; ///< Time left until its deadline.
    Duration expectedWait{0}; ///< Wait for a slot that was expected when one was last requested.
    bool fromPeer = false; ///< Another node relayed the request to a target on this host.
};

/** Records decisions about requests for later diagnosis. Called from traffic threads. */
class RequestLog
{
public:
    virtual ~RequestLog() = default;

    /** Must not block; events that arrive too fast are dropped. */
    virtual void record(const RequestEvent &event) = 0;
};

} // namespace Hornbeam
