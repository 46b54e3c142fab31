#pragma once

#include "bufferpool.h"
#include "httpmessagereader.h"
#include "timedsocket.h"

#include <string>
#include <string_view>

namespace Hornbeam {

/** Result of reading from a connection. */
enum class ReadResult {
    Ok,
    Closed, ///< The peer closed the connection.
    Reset, ///< The peer reset the connection, for example by closing it with unread data.
    TimedOut, ///< Nothing that completes the head or the message had arrived when the deadline was noticed.
    Cancelled,
    Malformed,
    HeadTooLarge,
    NoRoom, ///< The BufferPool has no room for the head.
};

/** A connection to a caller, node or target with its HTTP parser. Idle connections hold no receive buffer. */
class HttpStream
{
public:
    /** Largest number of bytes in one read, which also bounds the body bytes buffered per direction. */
    static constexpr std::size_t maxReadBytes = std::size_t{16} * 1024;

    HttpStream(TimedSocket socket, HttpMessageReader::Kind kind, std::size_t maxHeaderBytes);

    TimedSocket &socket()
    {
        return m_socket;
    }

    HttpMessageReader &reader()
    {
        return m_reader;
    }

    /**
     * Reads until the head of the current message is complete. @p deadline: for its first byte, and for the rest if
     * @p headTime after the first byte of its start line is later. @p share: counts the memory of the head; may be
     * null.
     */
    asio::awaitable<ReadResult> readHead(TimePoint deadline,
                                         Duration headTime = Duration::max(),
                                         BufferPool::Share *share = nullptr);

    /** Reads until reader().body() is not empty or the message is complete. */
    asio::awaitable<ReadResult> readBody(TimePoint deadline);

    /** Reads the next part of the body, even if reader().body() is not empty, unless the message is complete. */
    asio::awaitable<ReadResult> readMore(TimePoint deadline);

    /** Whether bytes after the current message have been received. */
    bool hasUnparsedBytes() const
    {
        return !m_unparsed.empty();
    }

    /** Discards bytes that have been received but not parsed; returns whether there were any. */
    bool discardUnparsed();

private:
    /** @p waitFirst: waits before the first read, because most likely nothing has arrived yet. */
    asio::awaitable<ReadResult> readUntilProgress(TimePoint deadline, bool waitFirst);
    bool parseUnparsed();
    bool parse(std::string_view bytes);
    ReadResult parseResult() const;

    TimedSocket m_socket;
    HttpMessageReader m_reader;
    std::string m_unparsed; ///< Bytes that have been received but not parsed.
};

} // namespace Hornbeam
