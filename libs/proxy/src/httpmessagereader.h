#pragma once

#include "httphead.h"
#include "responseframing.h"

#include <http_parser.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Hornbeam {

/** Upper bound of the limit of a head. The limit of http_parser itself must not be lower. */
constexpr std::uint32_t largestHeaderBytes = 1024 * 1024;

/**
 * Incremental HTTP/1.x parser for the consecutive messages of a connection; its owner reads the bytes. A response is
 * malformed if any byte outside its content is not allowed, because it may be sent on, or if its framing is ambiguous;
 * findRequestProblem() checks requests.
 */
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

    /**
     * @p maxHeaderBytes: limit of the start line, names and values together. The head has also at most a quarter as
     * many fields, because the shortest line of a field has four bytes, and with separators and empty lines before it
     * at most twice as many bytes.
     */
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

    /** Decoded body bytes; the owner clears or releases them after use. */
    std::string &body()
    {
        return m_body;
    }

    /** Discards the decoded body bytes, and frees their memory if it is large. */
    void releaseBody();

    /** Whether any byte of the current message has been parsed. */
    bool started() const
    {
        return m_started;
    }

    /** Whether the start line of the current message has begun; empty lines may precede it. */
    bool headBegun() const
    {
        return m_headBegun;
    }

    /** Changes the limit of the heads that are read from now on. */
    void setMaxHeaderBytes(std::size_t maxHeaderBytes)
    {
        m_maxHeaderBytes = maxHeaderBytes;
    }

    /** Memory that the head takes, also while it is incomplete. */
    std::size_t headMemory() const;

    /** Frees the header fields of a head that will not be used. */
    void dropFields();

    /** Whether only the end of the connection marks the end of the body. */
    bool isCloseDelimited() const
    {
        return m_closeDelimited;
    }

private:
    struct Callbacks;

    /** Lengths of a header field in m_fieldText. */
    struct FieldLengths
    {
        std::uint32_t name = 0;
        std::uint32_t value = 0;
    };

    /** Where the bytes of the status line are; http_parser accepts any number of digits. */
    enum class StatusLine {
        Version,
        Digits,
        Counted,
    };

    void countStatusDigits(std::string_view bytes);
    std::size_t parse(std::string_view bytes);

    /** Checks the bytes of a response up to @p end that are not content. */
    void checkFraming(const char *end);
    void finishHead();
    void makeFields();
    void limitHead(std::size_t used);
    bool countHeaderBytes(std::size_t n);

    http_parser m_parser;
    Kind m_kind;
    std::size_t m_maxHeaderBytes;
    State m_state = State::Head;
    HttpHead m_head;
    std::string m_body;
    std::string m_fieldText; ///< Names and values of the fields of an incomplete head, without separators.
    std::vector<FieldLengths> m_fields; ///< Of an incomplete head.
    std::size_t m_fieldMemory = 0; ///< Memory of the fields of a complete head.
    ResponseFraming m_framing;
    const char *m_unchecked = nullptr; ///< The first byte that m_framing has not checked; only during feed().
    std::size_t m_headerBytes = 0;
    std::size_t m_headWireBytes = 0; ///< Bytes up to the end of the head, with separators and empty lines.
    bool m_headRequested = false;
    StatusLine m_statusLine = StatusLine::Version;
    int m_statusDigits = 0;
    bool m_started = false;
    bool m_headBegun = false;
    bool m_lastWasValue = false;
    bool m_closeDelimited = false;
};

} // namespace Hornbeam
