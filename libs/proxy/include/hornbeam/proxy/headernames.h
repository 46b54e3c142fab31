#pragma once

#include <string>

namespace Hornbeam {

/**
 * Names of the headers that the proxy exchanges with callers and targets. A platform integration can replace them; an
 * empty name disables the feature. Between nodes, the proxy always uses X-Hornbeam-* headers.
 */
struct HeaderNames
{
    std::string deadline = "X-Hornbeam-Deadline-Ms"; ///< Milliseconds left until the deadline.
    std::string requestId{}; ///< Identifier of the request; a response repeats that of its request.
    std::string signature{}; ///< A successful response of a target is authentic only with this header.
    std::string expectedTarget{}; ///< Sent to a target: its name. A target with another name refuses the request.
    std::string originService{}; ///< Sent to a target: the service on the host of the caller.
    std::string notExecuted{}; ///< Set in the response of a target that did not run the request.
    /**
     * Carries the key of a client account. It is removed from a request. Without a name, requests have no account, and
     * a configuration with accounts admits only requests of anonymous routes.
     */
    std::string accountKey = "X-Hornbeam-Key";
    std::string account = "X-Hornbeam-Account"; ///< Sent to a target: the name of the request's client account.
    std::string targetLoad{}; ///< Set in responses of a target that states its load, see StatedLoad.
    bool fractionalRetryAfter = false; ///< Callers accept fractions of a second in Retry-After.

    friend bool operator==(const HeaderNames &, const HeaderNames &) = default;
};

} // namespace Hornbeam
