#include "httpstream.h"

#include <asio/error.hpp>

namespace Hornbeam {

namespace {

/** Bound of the bytes that are read at once, and so of the body bytes that are held per direction. */
constexpr std::size_t bufferBytes = std::size_t{16} * 1024;

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
    , m_buffer(bufferBytes)
{
}

asio::awaitable<ReadResult> HttpStream::readHead(TimePoint deadline)
{
    while (m_reader.state() == HttpMessageReader::State::Head) {
        const auto result = co_await readUntilProgress(deadline);
        if (result != ReadResult::Ok) {
            co_return result;
        }
    }
    // Lets a message without a body become complete together with its head.
    parse();
    co_return failure();
}

asio::awaitable<ReadResult> HttpStream::readBody(TimePoint deadline)
{
    while (m_reader.state() == HttpMessageReader::State::Body && m_reader.body().empty()) {
        const auto result = co_await readUntilProgress(deadline);
        if (result != ReadResult::Ok) {
            co_return result;
        }
    }
    co_return failure();
}

asio::awaitable<ReadResult> HttpStream::readUntilProgress(TimePoint deadline)
{
    if (!parse()) {
        std::size_t n = 0;
        const auto ec = co_await m_socket.readSome(asio::buffer(m_buffer), deadline, n);
        if (ec) {
            co_return resultOf(ec);
        }
        m_begin = 0;
        m_end = n;
        parse();
    }
    co_return failure();
}

bool HttpStream::parse()
{
    if (m_begin == m_end) {
        return false;
    }
    const auto before = m_reader.state();
    const auto used = m_reader.feed({m_buffer.data() + m_begin, m_end - m_begin});
    m_begin += used;
    // The parser pauses before the last byte of a head, so the state can change without a used byte.
    return used > 0 || m_reader.state() != before;
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

bool HttpStream::discardUnparsed()
{
    const bool discarded = m_begin != m_end;
    m_begin = m_end;
    return discarded;
}

} // namespace Hornbeam
