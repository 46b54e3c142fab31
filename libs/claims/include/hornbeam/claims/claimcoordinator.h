#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/claims/recordedresponse.h>

#include <functional>
#include <string>

namespace Hornbeam {

/** Decision on an attempt to run a non-idempotent request. */
enum class ClaimOutcome {
    Granted, ///< This attempt, and no other, may send the request, once.
    Completed, ///< The request has run; its recorded response can be replayed.
    InProgress, ///< Another attempt is running the request; the caller may retry later.
    Unknown, ///< An earlier attempt was started and its result is unknown; the request must not run again.
    NotRun, ///< No claim was obtained; this attempt does not run the request.
};

/** Identifies one attempt. After a lost response of the store, an attempt recognises its own claim by this id. */
struct ClaimTicket
{
    Digest identity; ///< Identity of the request.
    std::string attempt; ///< Random id of this attempt.

    friend auto operator<=>(const ClaimTicket &, const ClaimTicket &) = default;
};

struct ClaimDecision
{
    ClaimOutcome outcome = ClaimOutcome::NotRun;
    ClaimTicket ticket; ///< Set when granted.
    RecordedResponse response; ///< Set when completed.
    std::string reason; ///< Human-readable; set unless granted.
};

/**
 * Decides which attempt may run a non-idempotent request, so that it runs at most once across all nodes.
 * Functions may be called from any thread; callbacks run on the control thread.
 */
class ClaimCoordinator
{
public:
    virtual ~ClaimCoordinator() = default;

    /** Requests the right to run a request. Calls @p callback before @p deadline. */
    virtual void claim(const Digest &identity, TimePoint deadline, std::function<void(ClaimDecision)> callback) = 0;

    /** Records the response of a granted request, so that it can be replayed to a retry. Best effort. */
    virtual void complete(const ClaimTicket &ticket, RecordedResponse response) = 0;

    /** Releases a granted claim. Only valid if nothing has been sent to a target and nothing will be. */
    virtual void release(const ClaimTicket &ticket) = 0;

    /** Records that the request was sent and its result is unknown. Best effort. */
    virtual void markUnknown(const ClaimTicket &ticket) = 0;
};

} // namespace Hornbeam
