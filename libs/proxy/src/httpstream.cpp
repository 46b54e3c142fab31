#include "httpstream.h"

#include <asio/error.hpp>

#include <array>
#include <utility>

namespace Hornbeam {

namespace {

/** Bound of the bytes that are read at once, and so of the body bytes that are held per direction. */
constexpr std::size_t bufferBytes = std::size_t{16} * 1024;

/** Used between a read and the parsing of its bytes, without an interruption by another connection of the thread. */
std::array<char, bufferBytes> &receiveBuffer()
{
    thread_local std::array<char, bufferBytes> buffer;
    return buffer;
}

ReadResult resultOf(const std::error_code &ec)
{
    if (ec == std::errc::timed_out) {
        return ReadResult::TimedOut;
    }
    if (ec == asio::error::connection_reset) {
        return ReadResult::Reset;
    }
    return ec == asio::error::operation_aborted ? ReadResult::Cancelled : ReadResult::Closed;
}

} // namespace

HttpStream::HttpStream(TimedSocket socket, HttpMessageReader::Kind kind, std::size_t maxHeaderBytes)
    : m_socket(std::move(socket))
    , m_reader(kind, maxHeaderBytes)
{
}

asio::awaitable<ReadResult> HttpStream::readHead(TimePoint deadline)
{
    while (m_reader.state() == HttpMessageReader::State::Head) {
        const auto result = co_await readUntilProgress(deadline, true);
        if (result != ReadResult::Ok) {
            co_return result;
        }
    }
    // Lets a message without a body become complete together with its head.
    parseUnparsed();
    co_return failure();
}

asio::awaitable<ReadResult> HttpStream::readBody(TimePoint deadline)
{
    while (m_reader.state() == HttpMessageReader::State::Body && m_reader.body().empty()) {
        const auto result = co_await readUntilProgress(deadline, false);
        if (result != ReadResult::Ok) {
            co_return result;
        }
    }
    co_return failure();
}

asio::awaitable<ReadResult> HttpStream::readMore(TimePoint deadline)
{
    if (m_reader.state() != HttpMessageReader::State::Body) {
        co_return failure();
    }
    co_return co_await readUntilProgress(deadline, false);
}

asio::awaitable<ReadResult> HttpStream::readUntilProgress(TimePoint deadline, bool waitFirst)
{
    if (parseUnparsed()) {
        co_return failure();
    }
    std::size_t n = 0;
    std::error_code ec = asio::error::would_block;
    if (!waitFirst) {
        ec = m_socket.readNow(asio::buffer(receiveBuffer()), n);
    }
    while (ec == asio::error::would_block) {
        ec = co_await m_socket.waitReadable(deadline);
        if (!ec) {
            ec = m_socket.readNow(asio::buffer(receiveBuffer()), n);
        }
    }
    if (ec == asio::error::eof && m_reader.finish()) {
        co_return ReadResult::Ok;
    }
    if (ec) {
        co_return resultOf(ec);
    }
    parse({receiveBuffer().data(), n});
    co_return failure();
}

bool HttpStream::parseUnparsed()
{
    if (m_unparsed.empty()) {
        return false;
    }
    const auto bytes = std::exchange(m_unparsed, {});
    return parse(bytes);
}

bool HttpStream::parse(std::string_view bytes)
{
    const auto before = m_reader.state();
    bool progress = false;
    // The parser stops at the end of the head, before the body.
    while (!bytes.empty()) {
        const auto used = m_reader.feed(bytes);
        bytes.remove_prefix(used);
        const bool head = before == HttpMessageReader::State::Head && m_reader.state() != before;
        // The parser pauses before the last byte of a head, so the state can change without a used byte.
        progress = progress || used > 0 || m_reader.state() != before;
        if (used == 0 || head) {
            break;
        }
    }
    m_unparsed.assign(bytes);
    return progress;
}

bool HttpStream::discardUnparsed()
{
    const bool any = hasUnparsedBytes();
    m_unparsed.clear();
    return any;
}

ReadResult HttpStream::failure() const
{
    switch (m_reader.state()) {
    case HttpMessageReader::State::Malformed:
        return ReadResult::Malformed;
    case HttpMessageReader::State::HeadTooLarge:
        return ReadResult::HeadTooLarge;
    default:
        return ReadResult::Ok;
    }
}

} // namespace Hornbeam
