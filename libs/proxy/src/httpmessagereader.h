#pragma once

#include "httphead.h"

#include <http_parser.h>

#include <string>
#include <string_view>
#include <utility>

namespace Hornbeam {

/** Incremental HTTP/1.x parser for the consecutive messages of a connection; its owner reads the bytes. */
class HttpMessageReader
{
public:
    enum class Kind {
        Request,
        Response,
    };

    enum class State {
        Head, ///< The head is not complete.
        Body, ///< The head is complete, the body is not.
        Complete,
        Malformed,
        HeadTooLarge,
    };

    HttpMessageReader(Kind kind, std::size_t maxHeaderBytes);
    HttpMessageReader(const HttpMessageReader &) = delete;
    HttpMessageReader &operator=(const HttpMessageReader &) = delete;

    /** Prepares for the next message. @p headRequested: it is the response to a HEAD request and has no body. */
    void reset(bool headRequested = false);

    /**
     * Parses @p bytes and returns the number of bytes consumed. Stops at the end of the head and at the end of the
     * message. Appends decoded body bytes to body().
     */
    std::size_t feed(std::string_view bytes);

    /** Ends a close-delimited body at the end of the connection. Returns whether the message is complete. */
    bool finish();

    State state() const
    {
        return m_state;
    }

    const HttpHead &head() const
    {
        return m_head;
    }

    /** Moves the head out, for an owner that reads the next message before it has handled this one. */
    HttpHead takeHead()
    {
        return std::move(m_head);
    }

    /** Decoded body bytes; the owner clears them after use. */
    std::string &body()
    {
        return m_body;
    }

    /** Whether any byte of the current message has been parsed. */
    bool started() const
    {
        return m_started;
    }

    /** Whether only the end of the connection marks the end of the body. */
    bool isCloseDelimited() const
    {
        return m_closeDelimited;
    }

private:
    struct Callbacks;

    void finishHead();
    bool countHeaderBytes(std::size_t n);

    http_parser m_parser;
    Kind m_kind;
    std::size_t m_maxHeaderBytes;
    State m_state = State::Head;
    HttpHead m_head;
    std::string m_body;
    std::size_t m_headerBytes = 0;
    bool m_headRequested = false;
    bool m_started = false;
    bool m_lastWasValue = false;
    bool m_closeDelimited = false;
};

} // namespace Hornbeam
