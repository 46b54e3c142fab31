#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <string_view>

namespace Hornbeam {

/** A decision about a request, with what decided it. The texts live as long as the call that passes it. */
struct RequestEvent
{
    std::string_view id; ///< The caller's identifier; empty when it sent none.
    std::string_view route;
    std::string_view service;
    std::string_view target; ///< Name or address of the last target; empty when none was chosen.
    std::string_view decision; ///< "refused", "failed", "repeated", "moved" or "cancelled".
    std::string_view reason;
    int status = 0; ///< Of the response to the caller, or of the target; 0 for none.
    std::uint64_t configVersion = 0; ///< That the request was routed by.
    std::size_t rank = 0; ///< Order of admission, see AdmissionRank.
    Duration age{0}; ///< Since the request arrived.
    Duration left{0}; ///< Until its deadline.
    Duration expectedWait{0}; ///< For a slot, when one was last looked for.
    bool fromPeer = false; ///< Another node sent the request for a target of this host.
};

/** Records decisions about requests, so that a failure can be explained later. Called from traffic threads. */
class RequestLog
{
public:
    virtual ~RequestLog() = default;

    /** Never blocks; drops the event when too many come. */
    virtual void record(const RequestEvent &event) = 0;
};

} // namespace Hornbeam
