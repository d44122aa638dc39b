#include "core/events/event.hpp"

#include <array>
#include <chrono>

namespace turmericswitch::core
{

namespace
{

/// Texts longer than this are cut: a text that came from outside must not
/// fill the log.
constexpr std::size_t longest_text = 400;

std::string_view cut(std::string_view text)
{
    return text.substr(0, longest_text);
}

void append_escaped(std::string& out, unsigned char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned low_bits = 0xf;
    out.append("\\u00");
    out.push_back(digits[c >> 4U]);
    out.push_back(digits[c & low_bits]);
}

} // namespace

event_field text_field(std::string_view name, std::string_view value)
{
    return {name, std::string(value)};
}

event_field time_field(std::string_view name, duration value)
{
    return number_field(
        name,
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void append_json_string(std::string& out, std::string_view text)
{
    constexpr unsigned char first_printable = ' ';
    constexpr unsigned char last_ascii = 0x7e;
    out.push_back('"');
    for (char const each : text)
    {
        auto const c = static_cast<unsigned char>(each);
        if (c < first_printable || c > last_ascii)
        {
            // Bytes that came from outside may be no valid UTF-8.
            append_escaped(out, c);
            continue;
        }
        if (each == '"' || each == '\\')
        {
            out.push_back('\\');
        }
        out.push_back(each);
    }
    out.push_back('"');
}

std::string to_json_members(event const& what)
{
    std::string out = "\"event\":";
    out += std::to_string(static_cast<unsigned>(what.code));
    out += ",\"name\":";
    append_json_string(out, entry_of(what.code).name);
    for (auto const& [name, value] : what.fields)
    {
        out.push_back(',');
        append_json_string(out, name);
        out.push_back(':');
        if (auto const* const number = std::get_if<std::int64_t>(&value))
        {
            out += std::to_string(*number);
            continue;
        }
        append_json_string(out, cut(std::get<std::string>(value)));
    }
    return out;
}

std::string to_string(event const& what)
{
    std::string out = "E";
    out += std::to_string(static_cast<unsigned>(what.code));
    out.push_back(' ');
    out += entry_of(what.code).name;
    for (auto const& [name, value] : what.fields)
    {
        out.push_back(' ');
        out += name;
        out.push_back('=');
        if (auto const* const number = std::get_if<std::int64_t>(&value))
        {
            out += std::to_string(*number);
            continue;
        }
        out += cut(std::get<std::string>(value));
    }
    return out;
}

} // namespace turmericswitch::core
