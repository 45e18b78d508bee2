// A table with aligned columns for people.

#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Wisteria {

class Table
{
public:
    explicit Table(std::vector<std::string> header) { m_rows.push_back(std::move(header)); }

    // A row has as many cells as the header.
    void addRow(std::vector<std::string> cells);
    void print(std::ostream &out) const;

private:
    // Invariant: rows of equal length, the header first.
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace Wisteria
