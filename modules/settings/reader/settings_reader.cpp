#include "settings/reader/settings_reader.hpp"

#include "core/results/last_reason.hpp"
#include "settings/values/parse_value.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace turmericswitch::settings
{

using core::result_code;

namespace
{

template <typename T>
std::optional<T> within(std::optional<T> value, value_range<T> range)
{
    bool const inside =
        value && *value >= range.lowest && *value <= range.highest;
    return inside ? value : std::nullopt;
}

std::string format_milliseconds(core::duration value)
{
    return std::to_string(value.count() / 1000) + " ms";
}

std::string join(std::vector<std::string> const& words)
{
    std::string text;
    for (auto const& word : words)
    {
        text += text.empty() ? word : ", " + word;
    }
    return text;
}

} // namespace

std::optional<settings_reader> settings_reader::load(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !text)
    {
        return core::fail(result_code::io_failed, path + ": can't be read");
    }
    return settings_reader(path, text.str());
}

settings_reader::settings_reader(std::string file, std::string const& text)
    : m_name(std::move(file)), m_file(parse_settings(text))
{
}

std::string const& settings_reader::name() const noexcept
{
    return m_name;
}

bool settings_reader::has(setting_name const& name)
{
    m_known.insert(name);
    return find(name) != nullptr;
}

template <typename T>
T settings_reader::get(setting_name const& name,
                       std::string const& expected,
                       std::optional<T> const& default_value,
                       parser<T> const& parse)
{
    m_known.insert(name);
    settings_entry const* const entry = find(name);
    if (entry == nullptr)
    {
        if (!default_value)
        {
            m_file.errors.push_back(
                {result_code::settings_missing_key,
                 line_of(name.section),
                 0,
                 "key '" + name.key + "' is missing in section [" +
                     name.section + "]; expected " + expected});
        }
        return default_value.value_or(T());
    }
    auto const value = parse(entry->value);
    if (!value)
    {
        report_bad_value(name, expected);
    }
    return value.value_or(T());
}

std::string
settings_reader::text(setting_name const& name,
                      std::optional<std::string> const& default_value)
{
    return get<std::string>(name,
                            "a non-empty text",
                            default_value,
                            [](std::string const& value) {
                                return value.empty() ? std::nullopt
                                                     : std::optional(value);
                            });
}

std::int64_t settings_reader::integer(setting_name const& name,
                                      value_range<std::int64_t> range,
                                      std::optional<std::int64_t> default_value)
{
    return get<std::int64_t>(name,
                             "a number from " + std::to_string(range.lowest) +
                                 " to " + std::to_string(range.highest),
                             default_value,
                             [range](std::string const& value)
                             { return within(parse_integer(value), range); });
}

core::duration
settings_reader::duration(setting_name const& name,
                          std::optional<core::duration> default_value,
                          value_range<core::duration> range)
{
    return get<core::duration>(name,
                               "a time with the unit ms, s, min or h, from " +
                                   format_milliseconds(range.lowest) + " to " +
                                   format_milliseconds(range.highest),
                               default_value,
                               [range](std::string const& value) {
                                   return within(parse_duration(value), range);
                               });
}

core::byte_count
settings_reader::bytes(setting_name const& name,
                       std::optional<core::byte_count> default_value)
{
    return get<core::byte_count>(name,
                                 "a size with the unit B, KiB, MiB, GiB or TiB",
                                 default_value,
                                 [](std::string const& value)
                                 { return parse_bytes(value); });
}

core::endpoint
settings_reader::endpoint(setting_name const& name,
                          std::optional<core::endpoint> const& default_value)
{
    return get<core::endpoint>(name,
                               "a numeric IP address and a port, for example "
                               "10.0.0.1:7000",
                               default_value,
                               [](std::string const& value)
                               { return parse_endpoint(value); });
}

std::vector<core::endpoint> settings_reader::endpoints(
    setting_name const& name,
    std::optional<std::vector<core::endpoint>> const& default_value)
{
    using list = std::vector<core::endpoint>;
    return get<list>(name,
                     "numeric IP addresses with ports, separated by commas",
                     default_value,
                     [](std::string const& value)
                     {
                         auto const all = parse_endpoints(value);
                         return all && !all->empty() ? all : std::nullopt;
                     });
}

std::string
settings_reader::one_of(setting_name const& name,
                        std::vector<std::string> const& words,
                        std::optional<std::string> const& default_value)
{
    return get<std::string>(
        name,
        "one of " + join(words),
        default_value,
        [&words](std::string const& value)
        {
            bool const known =
                std::find(words.begin(), words.end(), value) != words.end();
            return known ? std::optional(value) : std::nullopt;
        });
}

bool settings_reader::flag(setting_name const& name,
                           std::optional<bool> default_value)
{
    std::optional<std::string> word;
    if (default_value)
    {
        word = *default_value ? "yes" : "no";
    }
    return one_of(name, {"yes", "no"}, word) == "yes";
}

void settings_reader::report_bad_value(setting_name const& name,
                                       std::string const& expected)
{
    settings_entry const* const entry = find(name);
    std::string const found =
        entry == nullptr ? "is missing" : "is '" + entry->value + "'";
    m_file.errors.push_back(
        {result_code::settings_bad_value,
         entry == nullptr ? line_of(name.section) : entry->line,
         entry == nullptr ? 0 : entry->column,
         "key '" + name.key + "' in section [" + name.section + "] " + found +
             "; expected " + expected});
}

bool settings_reader::finish()
{
    for (auto const& section : m_file.sections)
    {
        report_unknown(section);
    }
    for (auto const& entry : m_file.entries)
    {
        report_unknown(entry);
    }
    std::stable_sort(m_file.errors.begin(),
                     m_file.errors.end(),
                     [](settings_error const& a, settings_error const& b)
                     { return a.line < b.line; });
    if (m_file.errors.empty())
    {
        return true;
    }
    auto const& first = m_file.errors.front();
    return core::fail_bool(first.code, to_string(first));
}

void settings_reader::report_unknown(settings_section const& section)
{
    std::vector<std::string> known;
    for (auto const& name : m_known)
    {
        if (name.section == section.name)
        {
            return;
        }
        if (known.empty() || known.back() != name.section)
        {
            known.push_back(name.section);
        }
    }
    m_file.errors.push_back({result_code::settings_unknown_key,
                             section.line,
                             1,
                             "section [" + section.name +
                                 "] is unknown; expected one of " +
                                 join(known)});
}

void settings_reader::report_unknown(settings_entry const& entry)
{
    if (m_known.contains({entry.section, entry.key}))
    {
        return;
    }
    std::vector<std::string> known;
    for (auto const& name : m_known)
    {
        if (name.section == entry.section)
        {
            known.push_back(name.key);
        }
    }
    // An unknown section is reported once, not per key.
    if (known.empty() && !entry.section.empty())
    {
        return;
    }
    m_file.errors.push_back({result_code::settings_unknown_key,
                             entry.line,
                             1,
                             "key '" + entry.key + "' is unknown in section [" +
                                 entry.section + "]; expected one of " +
                                 join(known)});
}

std::vector<settings_error> const& settings_reader::errors() const
{
    return m_file.errors;
}

std::string settings_reader::to_string(settings_error const& error) const
{
    std::string text = m_name;
    if (error.line > 0)
    {
        text += ":" + std::to_string(error.line);
    }
    if (error.column > 0)
    {
        text += ":" + std::to_string(error.column);
    }
    text += ": " + std::to_string(static_cast<unsigned>(error.code)) + " ";
    text += core::to_string(error.code);
    return text + ": " + error.text;
}

settings_entry const* settings_reader::find(setting_name const& name) const
{
    auto const found = std::find_if(m_file.entries.begin(),
                                    m_file.entries.end(),
                                    [&name](settings_entry const& entry) {
                                        return entry.section == name.section &&
                                               entry.key == name.key;
                                    });
    return found == m_file.entries.end() ? nullptr : &*found;
}

int settings_reader::line_of(std::string const& section) const
{
    for (auto const& one : m_file.sections)
    {
        if (one.name == section)
        {
            return one.line;
        }
    }
    return 0;
}

} // namespace turmericswitch::settings
