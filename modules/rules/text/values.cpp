#include "rules/text/values.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>

namespace turmericswitch::rules
{

namespace
{

/// Largest amount in the base unit, so that sums of many fit into 64 bits.
constexpr std::int64_t max_amount = std::int64_t(1) << 50;

struct unit
{
    std::string_view name;
    std::int64_t factor;
};

// Largest factor first, so that format_amount() picks the largest unit that
// divides the value.
constexpr std::array<unit, 4> time_units{
    {{"min", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};
constexpr std::array<unit, 8> byte_units{{{"TiB", std::int64_t(1) << 40},
                                          {"GiB", 1 << 30},
                                          {"GB", 1'000'000'000},
                                          {"MiB", 1 << 20},
                                          {"MB", 1'000'000},
                                          {"KiB", 1 << 10},
                                          {"kB", 1'000},
                                          {"B", 1}}};
constexpr std::array<unit, 2> cpu_units{{{"cores", 1000}, {"m", 1}}};

std::optional<std::int64_t> parse_amount(std::string_view text,
                                         std::span<unit const> units)
{
    std::int64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || text.front() == '-')
    {
        return std::nullopt;
    }
    std::string_view const suffix(rest, static_cast<std::size_t>(end - rest));
    for (auto const& [name, factor] : units)
    {
        if (suffix == name && number <= max_amount / factor)
        {
            return number * factor;
        }
    }
    return std::nullopt;
}

std::string format_amount(std::int64_t value, std::span<unit const> units)
{
    auto const fits = std::find_if(units.begin(),
                                   units.end(),
                                   [value](unit const& each)
                                   { return value % each.factor == 0; });
    auto const& chosen = value == 0 ? units.back() : *fits;
    return std::to_string(value / chosen.factor) + std::string(chosen.name);
}

/// @param text Not empty.
/// @return Bytes of the valid UTF-8 sequence at the start, or 0.
std::size_t sequence_length(std::string_view text)
{
    auto const byte = [text](std::size_t i)
    { return static_cast<unsigned char>(text[i]); };
    auto const first = byte(0);
    if (first < 0x80)
    {
        return 1;
    }
    std::size_t const length = first >= 0xC2 && first <= 0xDF   ? 2
                               : first >= 0xE0 && first <= 0xEF ? 3
                               : first >= 0xF0 && first <= 0xF4 ? 4
                                                                : 0;
    if (length == 0 || text.size() < length)
    {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i)
    {
        if ((byte(i) & 0xC0U) != 0x80)
        {
            return 0;
        }
    }
    bool const overlong =
        (first == 0xE0 && byte(1) < 0xA0) || (first == 0xF0 && byte(1) < 0x90);
    bool const surrogate = first == 0xED && byte(1) > 0x9F;
    bool const too_high = first == 0xF4 && byte(1) > 0x8F;
    return overlong || surrogate || too_high ? 0 : length;
}

} // namespace

bool is_name(std::string_view text)
{
    auto const allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '.' || c == '_' || c == ':' ||
               c == '-';
    };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

std::optional<std::uint32_t>
parse_number(std::string_view text, std::uint32_t low, std::uint32_t high)
{
    std::uint32_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || rest != end || number < low || number > high)
    {
        return std::nullopt;
    }
    return number;
}

std::optional<core::duration> parse_duration(std::string_view text)
{
    auto const amount = parse_amount(text, time_units);
    constexpr core::duration longest = std::chrono::hours(24);
    if (!amount || core::duration(*amount) > longest)
    {
        return std::nullopt;
    }
    return core::duration(*amount);
}

std::string format_duration(core::duration value)
{
    return format_amount(value.count(), time_units);
}

std::optional<core::byte_count> parse_bytes(std::string_view text)
{
    auto const amount = parse_amount(text, byte_units);
    return amount ? std::optional(core::byte_count(*amount)) : std::nullopt;
}

std::string format_bytes(core::byte_count value)
{
    return format_amount(value.value(), byte_units);
}

std::optional<core::millicores> parse_cpu(std::string_view text)
{
    auto const amount = parse_amount(text, cpu_units);
    return amount ? std::optional(core::millicores(*amount)) : std::nullopt;
}

std::string format_cpu(core::millicores value)
{
    return format_amount(value.value(), cpu_units);
}

std::optional<std::uint16_t> parse_time_of_day(std::string_view text)
{
    if (text.size() != 5 || text[2] != ':')
    {
        return std::nullopt;
    }
    auto const hour = parse_number(text.substr(0, 2), 0, 23);
    auto const minute = parse_number(text.substr(3), 0, 59);
    if (!hour || !minute)
    {
        return std::nullopt;
    }
    return static_cast<std::uint16_t>(*hour * 60 + *minute);
}

std::string format_time_of_day(std::uint16_t value)
{
    auto const two_digits = [](int number)
    { return std::string(number < 10 ? "0" : "") + std::to_string(number); };
    return two_digits(value / 60) + ":" + two_digits(value % 60);
}

bool is_utf8(std::string_view text, std::size_t& bad_at)
{
    for (std::size_t at = 0; at < text.size();)
    {
        auto const length = sequence_length(text.substr(at));
        if (length == 0)
        {
            bad_at = at;
            return false;
        }
        at += length;
    }
    return true;
}

} // namespace turmericswitch::rules
