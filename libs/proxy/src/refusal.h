#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** Value of the X-Hornbeam-Outcome header. */
enum class RefusalOutcome {
    NotRun, ///< Nothing was sent to a target and nothing will be.
    InProgress, ///< Another attempt runs the request.
    Unknown, ///< The request may have run.
};

/** An answer of the proxy itself. */
struct Refusal
{
    int status = 503;
    RefusalOutcome outcome = RefusalOutcome::NotRun;
    const char *reason = ""; ///< Short constant text: metric label and part of the response body.
    std::chrono::milliseconds retryAfter{0}; ///< 0 sends no Retry-After.
};

const char *outcomeName(RefusalOutcome outcome);

/** The reason phrase of a status, or an empty string. */
const char *statusText(int status);

/** How a refusal is written. */
struct RefusalFormat
{
    std::uint64_t version = 0; ///< Configuration version in effect.
    bool keepAlive = true;
    bool withBody = true; ///< False for the response to HEAD.
    bool fractionalRetryAfter = false; ///< Otherwise Retry-After is rounded up to whole seconds.
    std::string headers{}; ///< Further headers, each ending in CRLF.
};

/** Serialises the response, with headers and a JSON body. */
std::string formatRefusal(const Refusal &refusal, const RefusalFormat &format);

} // namespace Hornbeam
