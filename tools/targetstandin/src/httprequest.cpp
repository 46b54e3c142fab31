#include "httprequest.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace Hornbeam {

namespace {

constexpr std::size_t maxStoredBodyBytes = 1 << 20;
constexpr std::size_t maxLineBytes = 1 << 20;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

bool parseRequestLine(const std::string &line, HttpRequest &request)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string::npos || first == last) {
        return false;
    }
    request.method = line.substr(0, first);
    request.path = line.substr(first + 1, last - first - 1);
    return true;
}

void parseHeader(const std::string &line, HttpRequest &request)
{
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
        return;
    }
    const auto value = line.find_first_not_of(' ', colon + 1);
    request.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
}

} // namespace

std::string HttpRequest::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::uint64_t HttpRequest::queryNumber(const std::string &path, const std::string &name, std::uint64_t fallback)
{
    const auto query = path.find('?');
    const auto at = query == std::string::npos ? std::string::npos : path.find(name + "=", query);
    return at == std::string::npos ? fallback : std::strtoull(path.c_str() + at + name.size() + 1, nullptr, 10);
}

HttpRequestReader::HttpRequestReader(asio::ip::tcp::socket &socket)
    : m_socket(socket)
{
}

asio::awaitable<bool> HttpRequestReader::readMore()
{
    std::array<char, 16384> buf;
    std::error_code ec;
    const auto n = co_await m_socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
    m_buffer.append(buf.data(), n);
    co_return !ec;
}

asio::awaitable<std::optional<std::string>> HttpRequestReader::readLine()
{
    for (;;) {
        const auto end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            auto line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            co_return line;
        }
        if (m_buffer.size() > maxLineBytes) {
            co_return std::nullopt;
        }
        const bool more = co_await readMore();
        if (!more) {
            co_return std::nullopt;
        }
    }
}

asio::awaitable<bool> HttpRequestReader::readBody(std::uint64_t bytes, HttpRequest &request)
{
    while (bytes > 0) {
        if (m_buffer.empty()) {
            const bool more = co_await readMore();
            if (!more) {
                co_return false;
            }
        }
        const auto n = std::min<std::uint64_t>(bytes, m_buffer.size());
        request.body.append(m_buffer, 0, std::min<std::size_t>(n, maxStoredBodyBytes - request.body.size()));
        request.bodyBytes += n;
        m_buffer.erase(0, n);
        bytes -= n;
    }
    co_return true;
}

asio::awaitable<bool> HttpRequestReader::readChunks(HttpRequest &request)
{
    for (;;) {
        const auto line = co_await readLine();
        if (!line) {
            co_return false;
        }
        const auto bytes = std::strtoull(line->c_str(), nullptr, 16);
        const bool complete = co_await readBody(bytes, request);
        const auto end = co_await readLine();
        if (!complete || !end || !end->empty()) {
            co_return false;
        }
        if (bytes == 0) {
            co_return true;
        }
    }
}

asio::awaitable<std::optional<HttpRequest>> HttpRequestReader::read()
{
    HttpRequest request;
    auto line = co_await readLine();
    if (!line || !parseRequestLine(*line, request)) {
        co_return std::nullopt;
    }
    for (;;) {
        line = co_await readLine();
        if (!line) {
            co_return std::nullopt;
        }
        if (line->empty()) {
            break;
        }
        parseHeader(*line, request);
    }
    bool complete = true;
    if (lowerCase(request.header("transfer-encoding")) == "chunked") {
        complete = co_await readChunks(request);
    } else {
        complete = co_await readBody(std::strtoull(request.header("content-length").c_str(), nullptr, 10), request);
    }
    if (!complete) {
        co_return std::nullopt;
    }
    co_return request;
}

} // namespace Hornbeam
