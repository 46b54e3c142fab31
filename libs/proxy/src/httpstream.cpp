#include "httpstream.h"

#include <asio/error.hpp>

#include <array>
#include <utility>

namespace Hornbeam {

namespace {

/** Shared by the connections of a thread: no coroutine is suspended between a read and the parsing of its bytes. */
std::array<char, HttpStream::maxReadBytes> &receiveBuffer()
{
    thread_local std::array<char, HttpStream::maxReadBytes> buffer;
    return buffer;
}

ReadResult toReadResult(const std::error_code &ec)
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

asio::awaitable<ReadResult> HttpStream::readHead(TimePoint deadline, Duration headTime, BufferPool::Share *share)
{
    bool limited = headTime == Duration::max();
    while (m_reader.state() == HttpMessageReader::State::Head) {
        const auto result = co_await readUntilProgress(deadline, true);
        if (result != ReadResult::Ok) {
            co_return result;
        }
        if (!limited && m_reader.headBegun()) {
            limited = true;
            deadline = std::chrono::steady_clock::now() + headTime;
        }
        if (share != nullptr && !share->resize(m_reader.headMemory())) {
            m_reader.dropFields();
            co_return ReadResult::NoRoom;
        }
    }
    // Lets a message without a body complete together with its head.
    parseUnparsed();
    co_return parseResult();
}

asio::awaitable<ReadResult> HttpStream::readBody(TimePoint deadline)
{
    while (m_reader.state() == HttpMessageReader::State::Body && m_reader.body().empty()) {
        const auto result = co_await readUntilProgress(deadline, false);
        if (result != ReadResult::Ok) {
            co_return result;
        }
    }
    co_return parseResult();
}

asio::awaitable<ReadResult> HttpStream::readMore(TimePoint deadline)
{
    if (m_reader.state() != HttpMessageReader::State::Body) {
        co_return parseResult();
    }
    co_return co_await readUntilProgress(deadline, false);
}

asio::awaitable<ReadResult> HttpStream::readUntilProgress(TimePoint deadline, bool waitFirst)
{
    if (parseUnparsed()) {
        co_return parseResult();
    }
    std::size_t n = 0;
    std::error_code ec = asio::error::would_block;
    if (!waitFirst) {
        ec = m_socket.readNow(asio::buffer(receiveBuffer()), n);
    }
    bool late = false;
    while (ec == asio::error::would_block && !late) {
        ec = co_await m_socket.waitReadable(deadline);
        // A delayed thread can notice the deadline before bytes that arrived in time.
        late = ec == std::errc::timed_out;
        if (!ec || late) {
            ec = m_socket.readNow(asio::buffer(receiveBuffer()), n);
        }
    }
    if (ec == asio::error::eof && m_reader.finish()) {
        co_return ReadResult::Ok;
    }
    if (ec) {
        co_return late ? ReadResult::TimedOut : toReadResult(ec);
    }
    const auto before = m_reader.state();
    parse({receiveBuffer().data(), n});
    // Only bytes that complete a head or a message count, so that a peer cannot extend the deadline.
    const bool unchanged = m_reader.state() == before;
    co_return (late && unchanged) ? ReadResult::TimedOut : parseResult();
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
    // feed() stops at the end of the head.
    while (!bytes.empty()) {
        const auto used = m_reader.feed(bytes);
        bytes.remove_prefix(used);
        const bool head = before == HttpMessageReader::State::Head && m_reader.state() != before;
        // The parser pauses before the last byte of a head, so the state can change although no byte was consumed.
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

ReadResult HttpStream::parseResult() const
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
