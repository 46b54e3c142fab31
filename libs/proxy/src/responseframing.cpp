#include "responseframing.h"

namespace Hornbeam {

namespace {

/** Whether @p c may not stand in a line, RFC 9112, sections 4, 5 and 7.1; a line end is not a part of its line. */
bool isControl(char c)
{
    constexpr unsigned char deleteByte = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte == deleteByte || (byte < ' ' && c != '\t' && c != '\r' && c != '\n');
}

} // namespace

void ResponseFraming::check(std::string_view bytes)
{
    for (const char c : bytes) {
        m_valid = m_valid && isAllowed(c);
        m_lineEndDue = false;
        m_previous = c;
    }
}

bool ResponseFraming::isAllowed(char c) const
{
    if (isControl(c) || (m_previous == '\r' && c != '\n') || (m_lineEndDue && c != '\r')) {
        return false;
    }
    // Only a head may have line feeds alone, section 2.2. Its last one can be the first byte that is checked after it.
    if (m_afterHead && c == '\n' && m_previous != '\r' && m_previous != '\n') {
        return false;
    }
    // A line that begins with white space continues the field before it, section 5.2; its text could be a field.
    return m_previous != '\n' || (c != ' ' && c != '\t');
}

} // namespace Hornbeam
