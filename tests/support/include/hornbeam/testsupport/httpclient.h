#pragma once

#include <hornbeam/base/error.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Hornbeam {

struct HttpRequest
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers = {}; ///< "Name: value".
    std::string body = {};
    std::chrono::milliseconds timeout{10000};
    std::int64_t maxBytesPerSecond = 0; ///< Limit for reading the response; 0 means no limit.
    std::string sourceAddress = {}; ///< Local IP address; empty lets the system choose.
};

struct HttpResponse
{
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::chrono::milliseconds elapsed{0};

    /** Returns the value of the header @p name, given in lower case, or an empty string. */
    std::string header(const std::string &name) const;
};

/**
 * Sends one request on a new connection and waits for the complete response. Thread-safe.
 * Returns the error OutcomeUnknown when the response was truncated or did not arrive in time, and Unavailable when the
 * connection could not be established.
 */
Result<HttpResponse> sendHttp(const HttpRequest &request);

} // namespace Hornbeam
