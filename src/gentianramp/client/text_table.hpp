#pragma once

#include <string>
#include <vector>

namespace gentianramp {

/// Rows of text that are written in aligned columns.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    void addRow(std::vector<std::string> cells);
    /// Lines with a line end each; two spaces between columns.
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace gentianramp
