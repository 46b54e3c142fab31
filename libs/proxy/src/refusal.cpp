#include "refusal.h"

#include <fmt/format.h>

namespace Hornbeam {

namespace {

std::string formatSeconds(std::chrono::milliseconds time, bool fractional)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(time);
    if (!fractional || seconds == time) {
        return std::to_string(seconds.count());
    }
    return fmt::format("{:.3f}", std::chrono::duration<double>(time).count());
}

} // namespace

const char *outcomeName(RefusalOutcome outcome)
{
    switch (outcome) {
    case RefusalOutcome::NotRun:
        return "not-run";
    case RefusalOutcome::InProgress:
        return "in-progress";
    case RefusalOutcome::Unknown:
        break;
    }
    return "unknown";
}

const char *statusText(int status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "";
    }
}

std::string formatRefusal(const Refusal &refusal, const RefusalFormat &format)
{
    const auto body = std::string("{\"error\":\"") + refusal.reason + "\"}\n";
    std::string out = "HTTP/1.1 " + std::to_string(refusal.status) + ' ' + statusText(refusal.status) + "\r\n";
    out += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    out += "X-Hornbeam-Version: " + std::to_string(format.version) + "\r\n";
    out += std::string("X-Hornbeam-Outcome: ") + outcomeName(refusal.outcome) + "\r\n";
    if (refusal.retryAfter.count() > 0) {
        out += "Retry-After: " + formatSeconds(refusal.retryAfter, format.fractionalRetryAfter) + "\r\n";
    }
    out += format.headers;
    out += format.keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    return format.withBody ? out + body : out;
}

} // namespace Hornbeam
