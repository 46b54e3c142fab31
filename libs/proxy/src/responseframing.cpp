#include "responseframing.h"

namespace Hornbeam {

void ResponseFraming::check(std::string_view bytes)
{
    for (const char c : bytes) {
        m_valid = m_valid && isAllowed(c);
        m_previous = c;
    }
}

bool ResponseFraming::isAllowed(char c) const
{
    // A line that begins with white space continues the field before it, section 5.2; its text could be a field.
    return m_previous != '\n' || (c != ' ' && c != '\t');
}

} // namespace Hornbeam
