#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Hornbeam {

/** Collects rows and prints them in aligned columns. */
class TablePrinter
{
public:
    explicit TablePrinter(std::vector<std::string> header);

    /** Adds a row with as many cells as the header has. */
    void add(std::vector<std::string> row);

    /** Prints the header and the rows; nothing when there are no rows. */
    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows; ///< The first one is the header.
};

} // namespace Hornbeam
