#pragma once

#include <hornbeam/json/jsonreader.h>

#include <functional>
#include <string>

namespace Hornbeam {

/** An HTTP request, independent of the HTTP library. */
struct AdminRequest
{
    std::string method; ///< "GET", "POST", "PUT", "DELETE", ...
    std::string path; ///< Decoded, without query.
    std::string query; ///< As sent, without the question mark.
    std::string body;
};

struct AdminResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/** Sends the response; called once, on the control thread. */
using AdminResponder = std::function<void(AdminResponse)>;

} // namespace Hornbeam
