#pragma once

#include <string>

namespace Hornbeam {

/**
 * Names of the headers at the two ends of the proxy: towards callers and towards targets. An environment with names of
 * its own replaces them; an empty name switches the feature off. Between nodes, the proxy always uses its own names.
 */
struct HeaderNames
{
    std::string deadline = "X-Hornbeam-Deadline-Ms"; ///< Milliseconds that are left for the response.
    std::string requestId{}; ///< Identifies a request; a response has the header of the request that it answers.
    std::string signature{}; ///< A successful response of a target without this header is not genuine.
    std::string expectedTarget{}; ///< Sent to a target with its name; a target of another name does not run it.
    std::string originService{}; ///< Sent to a target with the service on the host where the request began.
    std::string notExecuted{}; ///< In a response of a target that did not run the request.
    bool fractionalRetryAfter = false; ///< Callers understand a fraction in Retry-After.

    friend bool operator==(const HeaderNames &, const HeaderNames &) = default;
};

} // namespace Hornbeam
