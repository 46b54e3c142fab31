#include "httphead.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

namespace Hornbeam {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool startsWithIgnoringCase(std::string_view text, std::string_view prefix)
{
    return text.size() >= prefix.size() && equalsIgnoringCase(text.substr(0, prefix.size()), prefix);
}

/** Whether a header applies to one connection only or is written by the proxy itself. */
bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> names = {"connection",
                                                               "keep-alive",
                                                               "proxy-connection",
                                                               "proxy-authenticate",
                                                               "proxy-authorization",
                                                               "te",
                                                               "trailer",
                                                               "transfer-encoding",
                                                               "upgrade",
                                                               "content-length",
                                                               "expect"};
    return std::any_of(names.begin(), names.end(), [&](auto it) { return equalsIgnoringCase(it, name); });
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

/** The header names that the Connection headers declare as hop-by-hop. */
std::vector<std::string_view> connectionOptions(const HttpHead &head)
{
    std::vector<std::string_view> names;
    for (const auto &it : head.headers) {
        std::string_view rest = equalsIgnoringCase(it.name, "connection") ? std::string_view(it.value) : "";
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            names.push_back(trim(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

bool contains(std::span<const std::string_view> names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](auto it) { return equalsIgnoringCase(it, name); });
}

/** More than any client sends. Bounds the work, because each option is compared with each header. */
constexpr std::size_t maxConnectionOptions = 16;

/** Whether a path segment is "." or "..", with plain or percent-encoded dots. */
bool isDotSegment(std::string_view segment)
{
    int dots = 0;
    while (!segment.empty()) {
        const bool encoded = startsWithIgnoringCase(segment, "%2e");
        if (!encoded && segment.front() != '.') {
            return false;
        }
        segment.remove_prefix(encoded ? 3 : 1);
        ++dots;
    }
    return dots == 1 || dots == 2;
}

bool hasDotSegment(std::string_view path)
{
    while (!path.empty()) {
        const auto slash = std::min(path.find('/'), path.size());
        if (isDotSegment(path.substr(0, slash))) {
            return true;
        }
        path.remove_prefix(std::min(slash + 1, path.size()));
    }
    return false;
}

bool isTokenCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0
        || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view name)
{
    return !name.empty() && hasOnlyTokenCharacters(name);
}

bool hasControlCharacter(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos;
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool hasOnlyTokenCharacters(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isTokenCharacter);
}

const std::string *HttpHead::find(std::string_view name) const
{
    const auto it = std::find_if(
        headers.begin(), headers.end(), [&](const auto &header) { return equalsIgnoringCase(header.name, name); });
    return it == headers.end() ? nullptr : &it->value;
}

std::vector<std::string_view> HttpHead::findAll(std::string_view name) const
{
    std::vector<std::string_view> values;
    for (const auto &header : headers) {
        if (equalsIgnoringCase(header.name, name)) {
            values.emplace_back(header.value);
        }
    }
    return values;
}

std::size_t HttpHead::count(std::string_view name) const
{
    return std::count_if(
        headers.begin(), headers.end(), [&](const auto &header) { return equalsIgnoringCase(header.name, name); });
}

std::string_view HttpHead::path() const
{
    return std::string_view(requestTarget).substr(0, requestTarget.find('?'));
}

std::string_view HttpHead::host() const
{
    const auto *value = find("host");
    if (value == nullptr) {
        return {};
    }
    const std::string_view text = *value;
    if (!text.empty() && text.front() == '[') {
        return text.substr(0, std::min(text.find(']'), text.size() - 1) + 1);
    }
    return text.substr(0, text.find(':'));
}

const char *findRequestProblem(const HttpHead &head)
{
    if (head.count("transfer-encoding") > 1 || head.count("content-length") > 1) {
        return "repeated framing header";
    }
    const auto *encoding = head.find("transfer-encoding");
    if (encoding != nullptr && head.find("content-length") != nullptr) {
        return "both Content-Length and Transfer-Encoding";
    }
    if (encoding != nullptr && (!equalsIgnoringCase(*encoding, "chunked") || head.minorVersion == 0)) {
        return "unsupported Transfer-Encoding";
    }
    const auto hosts = head.count("host");
    if (hosts > 1 || (hosts == 0 && head.minorVersion >= 1)) {
        return "exactly one Host header is required";
    }
    if (connectionOptions(head).size() > maxConnectionOptions) {
        return "too many connection options";
    }
    if (head.requestTarget.empty() || head.requestTarget.front() != '/') {
        return "the request target must be a path";
    }
    if (hasDotSegment(head.path())) {
        return "dot segments in the path";
    }
    const bool malformed = std::any_of(head.headers.begin(), head.headers.end(), [](const auto &header) {
        return !isToken(header.name) || hasControlCharacter(header.value);
    });
    return malformed ? "malformed header" : nullptr;
}

void appendEndToEndHeaders(const HttpHead &head, std::string &out, std::span<const std::string_view> replaced)
{
    const auto hopByHop = connectionOptions(head);
    for (const auto &header : head.headers) {
        if (isHopByHop(header.name) || startsWithIgnoringCase(header.name, "x-hornbeam-")
            || contains(hopByHop, header.name) || contains(replaced, header.name)) {
            continue;
        }
        out += header.name;
        out += ": ";
        out += header.value;
        out += "\r\n";
    }
}

std::string chunkSizeLine(std::size_t n)
{
    std::array<char, 24> text{};
    const auto length = std::snprintf(text.data(), text.size(), "%zx\r\n", n);
    return {text.data(), static_cast<std::size_t>(length)};
}

bool hasValidStatus(const HttpHead &response)
{
    constexpr int switchingProtocols = 101;
    const bool interim = response.status >= 100 && response.status < 200;
    if (interim) {
        return response.status != switchingProtocols && !response.contentLength && !response.chunked;
    }
    return response.status >= 200 && response.status < 600;
}

bool hasUnambiguousFraming(const HttpHead &response)
{
    const auto codings = response.findAll("transfer-encoding");
    if (codings.empty()) {
        return true;
    }
    const bool chunked = codings.size() == 1 && equalsIgnoringCase(trim(codings.front()), "chunked");
    return chunked && response.minorVersion >= 1 && response.find("content-length") == nullptr;
}

bool statusHasNoBody(int status)
{
    return status == 204 || status == 304 || (status >= 100 && status < 200);
}

} // namespace Hornbeam
