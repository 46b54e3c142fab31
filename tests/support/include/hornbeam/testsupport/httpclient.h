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
    std::int64_t maxBytesPerSecond = 0; ///< Reads the response no faster; 0 is no limit.
    std::string sourceAddress = {}; ///< IP address to connect from; empty lets the system choose.
};

struct HttpResponse
{
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::chrono::milliseconds elapsed{0};

    /** The value of a header named in lower case, or an empty string. */
    std::string header(const std::string &name) const;
};

/**
 * Sends one request on a connection of its own and waits for the whole response. Safe from any thread.
 * OutcomeUnknown when the response was cut off or did not arrive in time, Unavailable when nothing could be sent.
 */
Result<HttpResponse> sendHttp(const HttpRequest &request);

} // namespace Hornbeam
