#ifndef TURMERICSWITCH_SETTINGS_READER_SETTINGS_FILE_HPP
#define TURMERICSWITCH_SETTINGS_READER_SETTINGS_FILE_HPP

#include "core/results/result_code.hpp"

#include <string>
#include <vector>

namespace turmericswitch::settings
{

/// One error in a settings file.
struct settings_error
{
    core::result_code code = core::result_code::settings_syntax;
    /// From 1; 0 if the error has no line, such as a missing section.
    int line = 0;
    /// Column of the value or key in bytes, from 1; 0 if there is none.
    int column = 0;
    /// What was found and what was expected.
    std::string text;

    bool operator==(settings_error const&) const = default;
};

/// One `key = value` line.
struct settings_entry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
    int column = 0;
};

/// A `[section]` line.
struct settings_section
{
    std::string name;
    int line = 0;
};

/// The content of a settings file, in file order.
struct settings_file
{
    std::vector<settings_section> sections;
    std::vector<settings_entry> entries;
    std::vector<settings_error> errors;
};

/// Longest line of a settings file, in bytes with its line break.
constexpr int max_line_bytes = 4000;

/// @param text The content of the file.
/// @return Its sections and entries. Syntax errors and repeated keys are in
/// `errors`; of a repeated key only the first entry is kept.
settings_file parse_settings(std::string const& text);

} // namespace turmericswitch::settings

#endif
