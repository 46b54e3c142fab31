#pragma once

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Hornbeam {

/** A received HTTP request. */
struct HttpRequest
{
    std::string method;
    std::string path; ///< Path and query.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body; ///< At most the first 1 MiB of the body.
    std::uint64_t bodyBytes = 0; ///< Length of the whole body.

    /** Returns the value of the header with this lower-case name, or an empty string. */
    std::string header(const std::string &name) const;

    /** Returns the value of the numeric query parameter @p name of @p path, or @p fallback if it is absent. */
    static std::uint64_t queryNumber(const std::string &path, const std::string &name, std::uint64_t fallback);
};

/** Reads the HTTP requests of one connection. Minimal on purpose: its peers are proxies and tests. */
class HttpRequestReader
{
public:
    explicit HttpRequestReader(asio::ip::tcp::socket &socket);

    /** Returns the next request, or nothing when the connection was closed or the input is malformed. */
    asio::awaitable<std::optional<HttpRequest>> read();

private:
    asio::awaitable<std::optional<std::string>> readLine();
    asio::awaitable<bool> readBody(std::uint64_t bytes, HttpRequest &request);
    asio::awaitable<bool> readChunks(HttpRequest &request);
    asio::awaitable<bool> readMore();

    asio::ip::tcp::socket &m_socket;
    std::string m_buffer;
};

} // namespace Hornbeam
