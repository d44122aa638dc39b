#include "output/text_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericswitch::ctl
{

text_table::text_table(std::vector<std::string> heading)
{
    m_rows.push_back(std::move(heading));
}

void text_table::add(std::vector<std::string> cells)
{
    assert(cells.size() == m_rows.front().size());
    for (auto& cell : cells)
    {
        cell = cell.empty() ? "-" : cell;
    }
    m_rows.push_back(std::move(cells));
}

std::string text_table::text() const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (auto const& row : m_rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (auto const& row : m_rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i];
            if (i + 1 < row.size())
            {
                line.append(widths[i] + gap - row[i].size(), ' ');
            }
        }
        text += line + '\n';
    }
    return text;
}

} // namespace turmericswitch::ctl
