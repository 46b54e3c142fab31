#pragma once

#include <hornbeam/base/endpoint.h>

#include <string>

namespace Hornbeam {

/**
 * Opens a connection, sends the bytes, shuts down the sending side and returns everything received until the peer
 * closes the connection. Used for malformed requests that an HTTP client library would not send.
 */
std::string exchangeRaw(const Endpoint &endpoint, const std::string &bytes);

} // namespace Hornbeam
