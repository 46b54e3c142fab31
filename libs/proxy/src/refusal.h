#pragma once

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
    int retryAfterSeconds = 0; ///< 0 sends no Retry-After.
};

const char *outcomeName(RefusalOutcome outcome);

/** The reason phrase of a status, or an empty string. */
const char *statusText(int status);

/** Serialises the response, with headers and a JSON body. @p withBody is false for HEAD. */
std::string formatRefusal(const Refusal &refusal, std::uint64_t version, bool keepAlive, bool withBody);

} // namespace Hornbeam
