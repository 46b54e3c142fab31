#pragma once

#include <hornbeam/base/endpoint.h>

#include <string>

namespace Hornbeam {

/**
 * Sends bytes on a connection of their own, ends the sending side and returns what comes back until the other side
 * closes. For requests that no HTTP client would send.
 */
std::string exchangeRaw(const Endpoint &endpoint, const std::string &bytes);

} // namespace Hornbeam
