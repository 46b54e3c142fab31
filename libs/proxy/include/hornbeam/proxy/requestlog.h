#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Hornbeam {

/** What a request is waiting for, and how long it has waited for each part of its response. */
struct RequestProgress
{
    std::string_view stage; ///< "slot", "target", "body", "link" or "caller".
    std::uint64_t bytesSent = 0; ///< Bytes of the response body that were passed to the caller's connection.
    std::uint64_t bytesExpected = 0; ///< Size of the response body; 0 if it is not known.
    Duration target{0}; ///< Time until the head of the response.
    Duration body{0}; ///< Time spent waiting for further bytes from the target or its node.
    Duration link{0}; ///< Time spent waiting for the turn of the response on the host's link.
    Duration caller{0}; ///< Time spent waiting for the caller to read.

    friend bool operator==(const RequestProgress &, const RequestProgress &) = default;
};

/** A decision about a request and its reasons. The string views are valid only during RequestLog::record(). */
struct RequestEvent
{
    std::string_view id; ///< Identifier that the caller sent; empty if it sent none.
    std::string_view route;
    std::string_view service;
    std::string_view target; ///< Name or address of the last target; empty if none was chosen.
    std::string_view decision; ///< "refused", "failed", "repeated", "moved", "cancelled", "undelivered", "interrupted".
    std::string_view reason;
    int status = 0; ///< HTTP status of the response to the caller or of the target; 0 if there is none.
    std::uint64_t configVersion = 0; ///< Configuration version with which the request was routed.
    std::string_view account; ///< Client account; empty if there is none.
    std::size_t rank = 0; ///< Admission order, see AdmissionRank.
    Duration age{0}; ///< Time since the request arrived.
    Duration timeLeft{0}; ///< Time left until its deadline.
    Duration expectedWait{0}; ///< Wait for a slot that was expected when one was last requested.
    bool fromPeer = false; ///< Another node relayed the request to a target on this host.
    std::optional<RequestProgress> progress{}; ///< Set if the response was not delivered completely.
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
