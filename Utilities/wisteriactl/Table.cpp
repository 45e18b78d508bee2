// Column widths are those of the longest cell.

#include <wisteriactl/Table.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace Wisteria {

void Table::addRow(std::vector<std::string> cells)
{
    VERIFY(cells.size() == m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

void Table::print(std::ostream &out) const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
            out << row[i] << std::string(widths[i] + gap - row[i].size(), ' ');
        out << row.back() << "\n";
    }
}

} // namespace Wisteria
