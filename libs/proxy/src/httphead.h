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

/** Compares two header names or tokens without regard to case. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/** Start line and headers of a request or response. */
struct HttpHead
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only: path and query as sent.
    int status = 0; ///< Responses only.
    std::string reason; ///< Responses only.
    int minorVersion = 1; ///< HTTP/1.0 or HTTP/1.1.
    std::vector<HttpHeader> headers;
    std::optional<std::uint64_t> contentLength;
    bool chunked = false;
    bool keepAlive = true; ///< The peer keeps the connection open after this message.

    /** Returns the value of the first header of that name, or null. */
    const std::string *find(std::string_view name) const;

    std::size_t count(std::string_view name) const;

    /** The target without its query. */
    std::string_view path() const;

    /** The host without its port. */
    std::string_view host() const;

    /** Whether a body follows the head of a request. */
    bool requestHasBody() const
    {
        return chunked || contentLength.value_or(0) > 0;
    }
};

/**
 * Returns why a request must be refused, or null. Refuses what two parsers could read in different ways: an
 * ambiguous length, a missing or repeated Host, and dot segments, which could lead past the matched route.
 */
const char *findRequestProblem(const HttpHead &head);

/**
 * Appends the end-to-end headers of @p head to @p out; skips hop-by-hop headers, framing, X-Hornbeam-* and those that
 * are @p replaced.
 */
void appendEndToEndHeaders(const HttpHead &head, std::string &out, std::span<const std::string_view> replaced = {});

/** The line with the size of a chunk before its @p n bytes. */
std::string chunkSizeLine(std::size_t n);

/** A target answers so when another one was expected at its address. */
constexpr int misdirectedStatus = 421;

/** Whether a response with this status has no body whatever its headers say. */
bool statusHasNoBody(int status);

} // namespace Hornbeam
