#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** Value of the X-Hornbeam-Outcome header. */
enum class RefusalOutcome {
    NotRun, ///< The request was not sent to a target and will not be.
    InProgress, ///< Another attempt is running the request.
    Unknown, ///< A target may have run the request.
};

/** An error response that the proxy itself generates. */
struct Refusal
{
    int status = 503;
    RefusalOutcome outcome = RefusalOutcome::NotRun;
    const char *reason = ""; ///< Constant text for the metric label and the response body.
    std::chrono::milliseconds retryAfter{0}; ///< 0 sends no Retry-After.
};

const char *outcomeName(RefusalOutcome outcome);

/** The reason phrase of a status code; empty if it is unknown. */
const char *statusText(int status);

/** Options for serialising a refusal. */
struct RefusalFormat
{
    std::uint64_t version = 0; ///< Version of the configuration in effect.
    bool keepAlive = true;
    bool withBody = true; ///< False for the response to HEAD.
    bool fractionalRetryAfter = false; ///< Otherwise Retry-After is rounded up to whole seconds.
    std::string headers{}; ///< Further headers, each ending in CRLF.
};

/** Serialises a refusal as an HTTP/1.1 response with a JSON body. */
std::string formatRefusal(const Refusal &refusal, const RefusalFormat &format);

} // namespace Hornbeam
