#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/claims/recordedresponse.h>

#include <functional>
#include <string>

namespace Hornbeam {

/** What a node may do with a non-idempotent request. */
enum class ClaimOutcome {
    Granted, ///< This node, and no other, may send the request once.
    Completed, ///< It has run; the recorded response answers the caller.
    InProgress, ///< Another attempt is running it; the caller may ask again later.
    Unknown, ///< An attempt was started and its result is not known; it must not run again.
    NotRun, ///< No claim was obtained; the request has not run through this attempt.
};

/** Identifies one attempt; its own claim is recognised by it after a lost answer of the store. */
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
    std::string reason; ///< For people; set when not granted.
};

/**
 * Decides which attempt runs a non-idempotent request, so that it runs at most once across nodes.
 * Functions may be called from any thread; callbacks run on the control thread.
 */
class ClaimCoordinator
{
public:
    virtual ~ClaimCoordinator() = default;

    /** Asks for the right to run the request. Calls back before @p deadline. */
    virtual void claim(const Digest &identity, TimePoint deadline, std::function<void(ClaimDecision)> callback) = 0;

    /** Records the response of a granted request, so that a retry receives it. Best effort. */
    virtual void complete(const ClaimTicket &ticket, RecordedResponse response) = 0;

    /** Gives a granted claim back. Only valid when nothing was sent to a target and nothing will be. */
    virtual void release(const ClaimTicket &ticket) = 0;

    /** Records that the request was sent and its result is not known. Best effort. */
    virtual void markUnknown(const ClaimTicket &ticket) = 0;
};

} // namespace Hornbeam
