#pragma once

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Hornbeam {

/** A request as the stand-in received it. */
struct HttpRequest
{
    std::string method;
    std::string path; ///< With the query.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body; ///< The first 1 MiB.
    std::uint64_t bodyBytes = 0; ///< All bytes of the body.

    /** Returns a header by its lower-case name, or an empty string. */
    std::string header(const std::string &name) const;

    /** Returns the number of a query parameter, or @p fallback. */
    static std::uint64_t queryNumber(const std::string &path, const std::string &name, std::uint64_t fallback);
};

/** Reads requests from one connection. Simple on purpose: its peer is a proxy or a test. */
class HttpRequestReader
{
public:
    explicit HttpRequestReader(asio::ip::tcp::socket &socket);

    /** Returns the next request, or nothing when the connection ended or the input is malformed. */
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
