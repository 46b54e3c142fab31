#include "tableprinter.h"

#include <algorithm>
#include <ostream>

namespace Hornbeam {

namespace {

constexpr std::size_t columnGap = 2;

} // namespace

TablePrinter::TablePrinter(std::vector<std::string> header)
    : m_rows{std::move(header)}
{
}

void TablePrinter::add(std::vector<std::string> row)
{
    m_rows.push_back(std::move(row));
}

void TablePrinter::print(std::ostream &out) const
{
    if (m_rows.size() == 1) {
        return;
    }
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths.at(i) = std::max(widths.at(i), row[i].size());
        }
    }
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i) {
            out << row[i] << std::string(widths[i] - row[i].size() + columnGap, ' ');
        }
        out << row.back() << '\n';
    }
}

} // namespace Hornbeam
