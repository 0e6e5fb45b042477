#pragma once

#include <string>
#include <vector>

namespace gentianramp {

/// Formats rows of text in aligned columns.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    void addRow(std::vector<std::string> cells);
    /// Returns one line per row, each with a line end; columns are two spaces apart.
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace gentianramp
