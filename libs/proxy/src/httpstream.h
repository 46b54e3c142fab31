#pragma once

#include "httpmessagereader.h"
#include "timedsocket.h"

#include <string>
#include <string_view>

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

/** One side of the proxy: a connection with its parser. Idle connections hold no buffer. */
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

    /** Reads more of the body, also when reader().body() has bytes already, or until the message is complete. */
    asio::awaitable<ReadResult> readMore(TimePoint deadline);

    /** Whether bytes after the current message were received. */
    bool hasUnparsedBytes() const
    {
        return !m_unparsed.empty();
    }

    /** Forgets received bytes; returns whether there were any. */
    bool discardUnparsed();

private:
    /** @p waitFirst: nothing is expected to have arrived yet. */
    asio::awaitable<ReadResult> readUntilProgress(TimePoint deadline, bool waitFirst);
    bool parseUnparsed();
    bool parse(std::string_view bytes);
    ReadResult failure() const;

    TimedSocket m_socket;
    HttpMessageReader m_reader;
    std::string m_unparsed; ///< Received bytes that belong to a later message.
};

} // namespace Hornbeam
