#include "text_table.hpp"

#include <algorithm>

namespace gentianramp {

namespace {

constexpr std::size_t ColumnGap = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> header)
    : m_rows{std::move(header)}
{ }

void TextTable::addRow(std::vector<std::string> cells)
{
    cells.resize(m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

std::string TextTable::toString() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + ColumnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line;
        text += '\n';
    }
    return text;
}

} // namespace gentianramp
