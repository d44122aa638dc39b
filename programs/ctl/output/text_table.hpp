#ifndef TURMERICSWITCH_CTL_OUTPUT_TEXT_TABLE_HPP
#define TURMERICSWITCH_CTL_OUTPUT_TEXT_TABLE_HPP

#include <string>
#include <vector>

namespace turmericswitch::ctl
{

/// A plain-text table: a heading and rows with left-aligned columns.
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);

    /// @param cells One per column of the heading; empty cells print as `-`.
    void add(std::vector<std::string> cells);

    /// @return The lines, with two spaces between columns and no trailing
    /// spaces.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace turmericswitch::ctl

#endif
