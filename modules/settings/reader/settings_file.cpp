#include "settings/reader/settings_file.hpp"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace turmericswitch::settings
{

using core::result_code;

namespace
{

// Room for the longest line, its line break and the terminating zero.
constexpr int line_buffer_bytes = max_line_bytes + 3;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blank = " \t\r\n";
    std::size_t const begin = text.find_first_not_of(blank);
    if (begin == std::string_view::npos)
    {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blank) - begin + 1);
}

/// Supplies inih with lines and receives its entries. It counts the lines, as
/// inih does not pass the line number to its handler.
class inih_reader
{
public:
    explicit inih_reader(std::string const& text) : m_rest(text) {}

    char* read_line(char* buffer, int capacity)
    {
        if (m_rest.empty())
        {
            return nullptr;
        }
        std::size_t const end = m_rest.find('\n');
        std::size_t const size =
            end == std::string_view::npos ? m_rest.size() : end + 1;
        m_line = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        ++m_line_number;
        check_line();
        std::size_t const copied =
            std::min(m_line.size(), static_cast<std::size_t>(capacity) - 1);
        std::memcpy(buffer, m_line.data(), copied);
        buffer[copied] = '\0';
        return buffer;
    }

    bool handle_entry(char const* section, char const* key, char const* value)
    {
        // check_line() has already reported a line without a key.
        if (*key == '\0')
        {
            return true;
        }
        auto const same = [&](settings_entry const& entry)
        { return entry.section == section && entry.key == key; };
        auto const first =
            std::find_if(m_file.entries.begin(), m_file.entries.end(), same);
        if (first != m_file.entries.end())
        {
            add_error("key '" + std::string(key) + "' is already set at line " +
                      std::to_string(first->line));
            return true;
        }
        m_file.entries.push_back(
            {section, key, value, m_line_number, value_column()});
        return true;
    }

    void add_error(std::string text)
    {
        m_file.errors.push_back(
            {result_code::settings_syntax, m_line_number, 1, std::move(text)});
    }

    settings_file& file()
    {
        return m_file;
    }

private:
    // inih doesn't report sections without keys and doesn't say whether a line
    // was truncated or has a syntax error, so each line is checked here.
    void check_line()
    {
        std::string_view const line = trimmed(m_line);
        if (m_line.size() > static_cast<std::size_t>(max_line_bytes))
        {
            add_error("the line is longer than " +
                      std::to_string(max_line_bytes) + " bytes");
        }
        else if (m_line.find('\0') != std::string_view::npos)
        {
            add_error("the line has a zero byte");
        }
        else if (line.empty() || line.front() == ';' || line.front() == '#')
        {
            return;
        }
        else if (line.front() == '[')
        {
            record_section(line);
        }
        else if (std::size_t const separator = line.find_first_of("=:");
                 separator == std::string_view::npos || separator == 0)
        {
            add_error("expected [section] or key = value");
        }
    }

    void record_section(std::string_view line)
    {
        std::size_t const end = line.find(']');
        if (end == std::string_view::npos)
        {
            add_error("expected ] after the name of the section");
            return;
        }
        m_file.sections.push_back(
            {std::string(line.substr(1, end - 1)), m_line_number});
    }

    int value_column() const
    {
        std::size_t const separator = m_line.find_first_of("=:");
        std::size_t const begin =
            m_line.find_first_not_of(" \t", separator + 1);
        return static_cast<int>(std::min(begin, m_line.size())) + 1;
    }

    std::string_view m_rest;
    std::string_view m_line;
    int m_line_number = 0;
    settings_file m_file;
};

// inih keeps its options in global variables.
bool set_inih_options()
{
    ini_use_stack = false;
    ini_max_line = line_buffer_bytes;
    ini_initial_alloc = line_buffer_bytes;
    ini_allow_multiline = false;
    return true;
}

} // namespace

settings_file parse_settings(std::string const& text)
{
    static bool const options_set = set_inih_options();
    static_cast<void>(options_set);
    inih_reader reader(text);
    ini_parse_stream(
        [](char* buffer, int capacity, void* user) {
            return static_cast<inih_reader*>(user)->read_line(buffer, capacity);
        },
        &reader,
        [](void* user, char const* section, char const* key, char const* value)
        {
            return static_cast<int>(
                static_cast<inih_reader*>(user)->handle_entry(
                    section, key, value));
        },
        &reader);
    return std::move(reader.file());
}

} // namespace turmericswitch::settings
