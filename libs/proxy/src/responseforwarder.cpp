#include "responseforwarder.h"

#include "linkturn.h"

#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace Hornbeam {

namespace {

/** Bodies above this size are not recorded, because claims are kept in a small key-value store. */
constexpr std::size_t maxRecordedBytes = std::size_t{64} * 1024;

/** Longest time without data in the middle of a body; a longer attempt timeout of the service takes precedence. */
constexpr auto bodyStallTimeout = std::chrono::seconds(10);

/** Least time for a response that had to wait for its turn. */
constexpr auto lateResponseTime = std::chrono::seconds(1);

/** Size of the pieces in which a paced response is sent; one takes 13 ms at 5 Mbit/s. */
constexpr std::size_t pacedPieceBytes = std::size_t{8} * 1024;

/** A caller that does not read a piece of the response for this long is too slow; lost packets cause shorter pauses. */
constexpr auto slowCallerTime = std::chrono::seconds(1);

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
    , m_responseNumber(call.core.linkQueue.nextResponse())
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

asio::awaitable<std::string> ResponseForwarder::formatHead(bool hasBody)
{
    const auto &head = m_exchange.stream().reader().head();
    const bool chunked = hasBody && !head.contentLength && m_call.head().minorVersion >= 1;
    // HTTP/1.0 has no chunked encoding: without Content-Length, closing the connection marks the end of the body.
    m_keepAlive = co_await m_call.decideKeepAlive(!hasBody || head.contentLength || chunked);
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
    co_return out + "\r\n";
}

asio::awaitable<bool> ResponseForwarder::forward()
{
    const auto headReceived = std::chrono::steady_clock::now();
    auto &stream = m_exchange.stream();
    m_call.responseBytes = stream.reader().head().contentLength.value_or(0);
    m_call.stages.enter(CallStage::Caller, headReceived);
    const bool hasBody = m_call.head().method != "HEAD" && !statusHasNoBody(stream.reader().head().status);
    auto head = co_await formatHead(hasBody);
    if (m_call.caller.hasWaitedForTurn()) {
        // Earlier responses of the connection delayed this one, which the target sent in time.
        m_call.deadline = std::max<TimePoint>(m_call.deadline, std::chrono::steady_clock::now() + lateResponseTime);
    }
    const bool chunked = hasBody && !stream.reader().head().contentLength && m_call.head().minorVersion >= 1;
    const auto stall = std::max<Duration>(bodyStallTimeout, m_call.service.attemptTimeout);
    bool first = true;
    for (;;) {
        co_await write(head, chunked);
        if (first) {
            const auto sent = std::chrono::steady_clock::now();
            m_call.core.metrics.addedTime.record(m_call.firstSend - m_call.started - m_call.waited
                                                 + (sent - headReceived));
            first = false;
        }
        head.clear();
        if (stream.reader().state() == HttpMessageReader::State::Complete || (m_callerFailed && !m_record)) {
            break;
        }
        const auto now = std::chrono::steady_clock::now();
        m_call.stages.enter(CallStage::Body, now);
        // Reading does not wait while bytes are available, so a body without end has to be stopped here.
        const auto result = now >= m_call.deadline ? ReadResult::TimedOut
                                                   : co_await stream.readBody(std::min(m_call.deadline, now + stall));
        if (result != ReadResult::Ok) {
            m_call.core.metrics.truncatedResponses.add();
            m_call.caller.stream().socket().abort();
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
    m_bodyBytes += body.size();
    std::string_view rest = body;
    std::string_view pieceHead = head;
    do {
        const auto piece = rest.substr(0, pieceBytes());
        rest.remove_prefix(piece.size());
        co_await waitForLink(pieceHead.size() + piece.size());
        co_await writePiece(pieceHead, piece, chunked, complete && rest.empty());
        pieceHead = {};
    } while (!rest.empty() && !m_callerFailed);
    recordBody(body);
    m_exchange.releaseBody();
}

asio::awaitable<void> ResponseForwarder::writePiece(std::string_view head,
                                                    std::string_view piece,
                                                    bool chunked,
                                                    bool last)
{
    if (m_callerFailed) {
        co_return;
    }
    const auto size = chunked && !piece.empty() ? chunkSizeLine(piece.size()) : std::string();
    const std::string_view end = size.empty() ? "" : "\r\n";
    const std::string_view lastChunk = chunked && last ? "0\r\n\r\n" : "";
    const std::array<asio::const_buffer, 5> buffers = {asio::const_buffer(head.data(), head.size()),
                                                       asio::buffer(size),
                                                       asio::const_buffer(piece.data(), piece.size()),
                                                       asio::const_buffer(end.data(), end.size()),
                                                       asio::const_buffer(lastChunk.data(), lastChunk.size())};
    const auto started = std::chrono::steady_clock::now();
    m_call.stages.enter(CallStage::Caller, started);
    const auto ec = co_await m_call.caller.write(buffers, m_call.deadline);
    m_callerFailed = static_cast<bool>(ec);
    m_call.sentBytes += ec ? 0 : piece.size();
    m_overran = ec == std::errc::timed_out && std::chrono::steady_clock::now() - started < slowCallerTime;
}

std::size_t ResponseForwarder::pieceBytes() const
{
    return isPaced() ? pacedPieceBytes : std::string_view::npos;
}

bool ResponseForwarder::isPaced() const
{
    return m_call.core.linkPacer.isPacing() && m_call.route.bulk
        && std::chrono::steady_clock::now() < m_call.core.pacedUntil();
}

asio::awaitable<void> ResponseForwarder::waitForLink(std::size_t bytes)
{
    auto &link = m_call.core.linkPacer;
    const auto now = std::chrono::steady_clock::now();
    if (!isPaced()) {
        link.addUnpaced(bytes, now);
        co_return;
    }
    m_call.stages.enter(CallStage::Link, now);
    LinkTurn linkTurn(
        m_call.core.linkQueue, {.deadline = m_call.deadline, .response = m_responseNumber}, m_call.context);
    m_call.linkTurn = &linkTurn;
    co_await linkTurn.wait();
    m_call.linkTurn = nullptr;
    const auto granted = std::chrono::steady_clock::now();
    if (granted >= m_call.deadline || !isPaced()) {
        co_return;
    }
    const bool backlogged = linkTurn.hasWaited() || m_call.sentBytes > 0;
    const auto wait = link.reserve(bytes, granted, backlogged);
    if (m_call.large) {
        m_call.large->sent(bytes);
    }
    if (wait > Duration::zero()) {
        asio::steady_timer timer(*m_call.context, std::min(granted + wait, m_call.deadline));
        std::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
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
    const bool keepAlive = co_await call.decideKeepAlive();
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
    const auto ec = co_await call.caller.write(buffers, call.deadline);
    call.core.metrics.countResponse(call.route.name, response.status);
    call.keepOpen = keepAlive && !ec;
}

} // namespace Hornbeam
