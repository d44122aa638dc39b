#ifndef TURMERICSWITCH_CTL_OUTPUT_TEXT_TABLE_HPP
#define TURMERICSWITCH_CTL_OUTPUT_TEXT_TABLE_HPP

#include <string>
#include <vector>

namespace turmericswitch::ctl
{

/// A table for people: a heading and rows, columns padded to equal width.
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);

    /// @param cells As many as the heading has; empty ones print as `-`.
    void add(std::vector<std::string> cells);

    /// @return The lines, two spaces between columns, no trailing spaces.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace turmericswitch::ctl

#endif
