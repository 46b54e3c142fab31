#include "responseforwarder.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

namespace Hornbeam {

namespace {

/** Bodies above this size are not recorded; the claims live in a small store. */
constexpr std::size_t maxRecordedBytes = std::size_t{64} * 1024;

/** A target that sends nothing for this long in the middle of a body is given up, if its attempts may not be slower. */
constexpr auto bodyStallTimeout = std::chrono::seconds(10);

std::string chunkHead(std::size_t n)
{
    std::array<char, 24> text{};
    const auto length = std::snprintf(text.data(), text.size(), "%zx\r\n", n);
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string statusLine(int status, const std::string &reason)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\n";
}

std::string connectionHeader(const CallContext &call, bool keepAlive)
{
    if (!keepAlive) {
        return "Connection: close\r\n";
    }
    return call.head().minorVersion == 0 ? "Connection: keep-alive\r\n" : "";
}

} // namespace

ResponseForwarder::ResponseForwarder(CallContext &call, UpstreamExchange &exchange)
    : m_call(call)
    , m_exchange(exchange)
{
}

void ResponseForwarder::record()
{
    m_record.emplace();
    const auto &head = m_exchange.stream().reader().head();
    m_record->status = head.status;
    if (const auto *type = head.find("content-type")) {
        m_record->headers.push_back({"Content-Type", *type});
    }
    if (const auto *location = head.find("location")) {
        m_record->headers.push_back({"Location", *location});
    }
}

std::string ResponseForwarder::formatHead(bool hasBody)
{
    const auto &head = m_exchange.stream().reader().head();
    const bool chunked = hasBody && !head.contentLength && m_call.head().minorVersion >= 1;
    // HTTP/1.0 has no chunks: without a length, the end of the connection ends the body.
    m_keepAlive = m_call.canKeepAlive() && (!hasBody || head.contentLength || chunked);
    std::string out;
    out.reserve(512);
    out += statusLine(head.status, head.reason);
    appendEndToEndHeaders(head, out);
    if (chunked) {
        out += "Transfer-Encoding: chunked\r\n";
    } else if (head.contentLength && head.status != 204) {
        out += "Content-Length: " + std::to_string(*head.contentLength) + "\r\n";
    }
    out += "X-Hornbeam-Version: " + std::to_string(m_call.state->snapshot->version()) + "\r\n";
    if (m_call.relay) {
        out += std::string(loadHeaderName) + ": " + m_exchange.report().format() + "\r\n";
    }
    out += connectionHeader(m_call, m_keepAlive);
    return out + "\r\n";
}

asio::awaitable<bool> ResponseForwarder::forward()
{
    const auto arrived = std::chrono::steady_clock::now();
    auto &stream = m_exchange.stream();
    const bool hasBody = m_call.head().method != "HEAD" && !statusHasNoBody(stream.reader().head().status);
    auto head = formatHead(hasBody);
    const bool chunked = hasBody && !stream.reader().head().contentLength && m_call.head().minorVersion >= 1;
    const auto stall = std::max<Duration>(bodyStallTimeout, m_call.service.attemptTimeout);
    bool first = true;
    for (;;) {
        co_await write(head, chunked);
        if (first) {
            const auto sent = std::chrono::steady_clock::now();
            m_call.core.metrics.addedTime.record(m_call.firstSend - m_call.started - m_call.waited + (sent - arrived));
            first = false;
        }
        head.clear();
        if (stream.reader().state() == HttpMessageReader::State::Complete || (m_callerFailed && !m_record)) {
            break;
        }
        const auto limit = std::min(m_call.deadline, std::chrono::steady_clock::now() + stall);
        const auto result = co_await stream.readBody(limit);
        if (result != ReadResult::Ok) {
            m_call.core.metrics.truncatedResponses.add();
            m_call.caller.socket().abort();
            co_return false;
        }
    }
    m_call.keepOpen = m_keepAlive && !m_callerFailed;
    co_return stream.reader().state() == HttpMessageReader::State::Complete;
}

asio::awaitable<void> ResponseForwarder::write(const std::string &head, bool chunked)
{
    auto &reader = m_exchange.stream().reader();
    auto &body = reader.body();
    const bool complete = reader.state() == HttpMessageReader::State::Complete;
    const auto size = chunked && !body.empty() ? chunkHead(body.size()) : std::string();
    const std::string_view end = size.empty() ? "" : "\r\n";
    const std::string_view last = chunked && complete ? "0\r\n\r\n" : "";
    if (!m_callerFailed) {
        const std::array<asio::const_buffer, 5> buffers = {asio::buffer(head),
                                                           asio::buffer(size),
                                                           asio::buffer(body),
                                                           asio::const_buffer(end.data(), end.size()),
                                                           asio::const_buffer(last.data(), last.size())};
        std::size_t n = 0;
        const auto ec = co_await m_call.caller.socket().write(buffers, m_call.deadline, n);
        m_callerFailed = static_cast<bool>(ec);
    }
    recordBody(body);
    body.clear();
}

void ResponseForwarder::recordBody(const std::string &piece)
{
    if (!m_record || m_record->bodyOmitted) {
        return;
    }
    if (m_record->body.size() + piece.size() > maxRecordedBytes) {
        m_record->body.clear();
        m_record->bodyOmitted = true;
        return;
    }
    m_record->body += piece;
}

asio::awaitable<void> replayResponse(CallContext &call, const RecordedResponse &response)
{
    const bool keepAlive = call.canKeepAlive();
    auto out = statusLine(response.status, statusText(response.status));
    for (const auto &header : response.headers) {
        out += header.name + ": " + header.value + "\r\n";
    }
    if (response.status != 204) {
        out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    out += "X-Hornbeam-Version: " + std::to_string(call.state->snapshot->version()) + "\r\n";
    out += "X-Hornbeam-Outcome: replayed\r\n";
    out += response.bodyOmitted ? "X-Hornbeam-Body: omitted\r\n" : "";
    out += connectionHeader(call, keepAlive) + "\r\n";
    const bool withBody = call.head().method != "HEAD" && !statusHasNoBody(response.status);
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(out), asio::buffer(withBody ? std::string_view(response.body) : std::string_view())};
    std::size_t n = 0;
    const auto ec = co_await call.caller.socket().write(buffers, call.deadline, n);
    call.core.metrics.countResponse(call.route.name, response.status);
    call.keepOpen = keepAlive && !ec;
}

} // namespace Hornbeam
