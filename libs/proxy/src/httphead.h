#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

struct HttpHeader
{
    std::string name;
    std::string value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

/** Compares two header names or tokens case-insensitively. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/** Whether @p text can be a part of a header name. http_parser accepts spaces, which other parsers ignore or strip. */
bool hasOnlyTokenCharacters(std::string_view text);

/** Start line and header fields of a request or response. */
struct HttpHead
{
    std::string method; ///< Requests only.
    std::string requestTarget; ///< Requests only: the request target, that is, path and query as sent.
    int status = 0; ///< Responses only.
    std::string reason; ///< Responses only.
    int minorVersion = 1; ///< 0 for HTTP/1.0, 1 for HTTP/1.1.
    std::vector<HttpHeader> headers;
    std::optional<std::uint64_t> contentLength;
    bool chunked = false;
    bool keepAlive = true; ///< The sender keeps the connection open after this message.

    /** Returns the value of the first header called @p name, or null. */
    const std::string *find(std::string_view name) const;

    /** Returns the values of all headers called @p name. */
    std::vector<std::string_view> findAll(std::string_view name) const;

    std::size_t count(std::string_view name) const;

    /** The request target without its query. */
    std::string_view path() const;

    /** The value of the Host header without its port; empty without the header. */
    std::string_view host() const;

    /** Whether a body follows the head; for requests. */
    bool requestHasBody() const
    {
        return chunked || contentLength.value_or(0) > 0;
    }
};

/**
 * Returns the reason why a request must be refused, or null. Refuses requests that two parsers could interpret
 * differently: ambiguous body lengths, a missing or repeated Host header, malformed headers, and dot segments, with
 * which the target could resolve a path outside the matched route.
 */
const char *findRequestProblem(const HttpHead &head);

/**
 * Appends the end-to-end headers of @p head to @p out. Skips hop-by-hop headers, headers that frame the body,
 * X-Hornbeam-* headers, and those named in @p replaced.
 */
void appendEndToEndHeaders(const HttpHead &head, std::string &out, std::span<const std::string_view> replaced = {});

/** The line that precedes a chunk of @p n bytes. */
std::string chunkSizeLine(std::size_t n);

/** Status with which a target refuses a request that was meant for another target at its address. */
constexpr int misdirectedStatus = 421;

/**
 * Whether a target may send a response with this head, RFC 9110, section 15: the classes are 1 to 5, 101 needs a
 * request with Upgrade, which the proxy does not send, and an interim response has neither a length nor a body.
 */
bool hasValidStatus(const HttpHead &response);

/**
 * Whether the head of a response says in one way only how its body is framed: without Transfer-Encoding, or by the
 * coding "chunked" alone. The proxy sends no TE header, so a target may use no other coding, RFC 9112, section 7.4, and
 * the proxy would pass on the coded body as the body itself.
 */
bool hasUnambiguousFraming(const HttpHead &response);

/** Whether a response with this status has no body, regardless of its headers. */
bool statusHasNoBody(int status);

} // namespace Hornbeam
