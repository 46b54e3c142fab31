#pragma once

#include "httphead.h"

#include <http_parser.h>

#include <string>
#include <string_view>

namespace Hornbeam {

/** Parses one HTTP/1.1 message after the other from bytes that its owner reads. */
class HttpMessageReader
{
public:
    enum class Kind {
        Request,
        Response,
    };

    enum class State {
        Head, ///< The head is not complete.
        Body, ///< The head is complete, the message is not.
        Complete,
        Malformed,
        HeadTooLarge,
    };

    HttpMessageReader(Kind kind, std::size_t maxHeaderBytes);
    HttpMessageReader(const HttpMessageReader &) = delete;
    HttpMessageReader &operator=(const HttpMessageReader &) = delete;

    /** Starts the next message. @p headRequested: the response answers a HEAD request and has no body. */
    void reset(bool headRequested = false);

    /**
     * Parses @p bytes and returns how many were used; stops at the end of the head and at the end of the message.
     * Decoded body bytes are appended to body().
     */
    std::size_t feed(std::string_view bytes);

    /** Ends the message with the end of the connection; true when it is complete by that. */
    bool finish();

    State state() const
    {
        return m_state;
    }

    const HttpHead &head() const
    {
        return m_head;
    }

    /** Decoded body bytes that the owner has not cleared yet. */
    std::string &body()
    {
        return m_body;
    }

    /** Whether any byte of the current message was parsed. */
    bool started() const
    {
        return m_started;
    }

    /** Whether the end of the body would only show in the end of the connection. */
    bool endsWithConnection() const
    {
        return m_endsWithConnection;
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
    bool m_endsWithConnection = false;
};

} // namespace Hornbeam
