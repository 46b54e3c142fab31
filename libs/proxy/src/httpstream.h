#pragma once

#include "httpmessagereader.h"
#include "timedsocket.h"

#include <array>
#include <vector>

namespace Hornbeam {

/** How reading from a peer ended. */
enum class ReadResult {
    Ok,
    Closed, ///< The peer closed the connection.
    Reset, ///< The peer reset the connection, for example by closing it with unread bytes.
    TimedOut,
    Cancelled,
    Malformed,
    HeadTooLarge,
};

/** One side of the proxy: a connection with its parser and a bounded buffer. */
class HttpStream
{
public:
    HttpStream(TimedSocket socket, HttpMessageReader::Kind kind, std::size_t maxHeaderBytes);

    TimedSocket &socket()
    {
        return m_socket;
    }

    HttpMessageReader &reader()
    {
        return m_reader;
    }

    /** Reads until the head of the current message is complete. */
    asio::awaitable<ReadResult> readHead(TimePoint deadline);

    /** Reads until reader().body() has bytes or the message is complete. */
    asio::awaitable<ReadResult> readBody(TimePoint deadline);

    /** Whether bytes after the current message were received. */
    bool hasUnparsedBytes() const
    {
        return m_begin != m_end;
    }

    /** Forgets received bytes; returns whether there were any. */
    bool discardUnparsed();

private:
    asio::awaitable<ReadResult> readUntilProgress(TimePoint deadline);
    bool parse();
    ReadResult failure() const;

    TimedSocket m_socket;
    HttpMessageReader m_reader;
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace Hornbeam
