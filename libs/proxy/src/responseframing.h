#pragma once

#include <string_view>

namespace Hornbeam {

/**
 * Checks the bytes of a response outside its content, that is its head, the lines around its chunks and its trailers.
 * http_parser accepts or skips bytes that other parsers read in another way.
 */
class ResponseFraming
{
public:
    /** Checks the next bytes. */
    void check(std::string_view bytes);

    /** The next byte to check is the last line feed of the head, or follows it. */
    void headEnded()
    {
        m_afterHead = true;
    }

    /** The content of a chunk has ended, so that a line end must follow. */
    void chunkEnded()
    {
        m_lineEndDue = true;
    }

    /** Whether RFC 9112 allows all bytes that have been checked. */
    bool isValid() const
    {
        return m_valid;
    }

private:
    bool isAllowed(char c) const;

    char m_previous = 0;
    bool m_afterHead = false;
    bool m_lineEndDue = false;
    bool m_valid = true;
};

} // namespace Hornbeam
