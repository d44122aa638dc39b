#include "settings/values/parse_value.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <string>

namespace turmericswitch::settings
{

namespace
{

struct unit
{
    std::string_view name;
    std::int64_t factor;
};

constexpr std::array duration_units = {
    unit{"ms", 1'000},
    unit{"s", 1'000'000},
    unit{"min", 60'000'000},
    unit{"h", 3'600'000'000},
};

constexpr std::array byte_units = {
    unit{"B", 1},
    unit{"KiB", std::int64_t{1} << 10},
    unit{"MiB", std::int64_t{1} << 20},
    unit{"GiB", std::int64_t{1} << 30},
    unit{"TiB", std::int64_t{1} << 40},
};

std::string_view trimmed(std::string_view text)
{
    std::size_t const begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
    {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

template <typename Units>
std::optional<std::int64_t> parse_amount(std::string_view text,
                                         Units const& units)
{
    std::size_t const digits = text.find_first_not_of("0123456789");
    auto const number = parse_integer(text.substr(0, digits));
    if (!number || digits == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view const name = trimmed(text.substr(digits));
    for (auto const& one : units)
    {
        std::int64_t amount = 0;
        if (one.name == name &&
            !__builtin_mul_overflow(*number, one.factor, &amount))
        {
            return amount;
        }
    }
    return std::nullopt;
}

bool is_numeric_address(std::string const& text, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> ignored{};
    return inet_pton(family, text.c_str(), ignored.data()) == 1;
}

} // namespace

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<core::duration> parse_duration(std::string_view text)
{
    auto const amount = parse_amount(text, duration_units);
    return amount ? std::optional(core::duration(*amount)) : std::nullopt;
}

std::optional<core::byte_count> parse_bytes(std::string_view text)
{
    auto const amount = parse_amount(text, byte_units);
    return amount ? std::optional(core::byte_count(*amount)) : std::nullopt;
}

std::optional<core::endpoint> parse_endpoint(std::string_view text)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    bool const bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    std::string address(host);
    auto const port = parse_integer(text.substr(colon + 1));
    if (!is_numeric_address(address, bracketed ? AF_INET6 : AF_INET) || !port ||
        *port < 0 || *port > UINT16_MAX)
    {
        return std::nullopt;
    }
    return core::endpoint{std::move(address),
                          static_cast<std::uint16_t>(*port)};
}

std::optional<std::vector<core::endpoint>>
parse_endpoints(std::string_view text)
{
    std::vector<core::endpoint> list;
    while (!trimmed(text).empty())
    {
        std::size_t const comma = text.find(',');
        auto const one = parse_endpoint(trimmed(text.substr(0, comma)));
        if (!one)
        {
            return std::nullopt;
        }
        list.push_back(*one);
        if (comma == std::string_view::npos)
        {
            return list;
        }
        text.remove_prefix(comma + 1);
        if (trimmed(text).empty())
        {
            return std::nullopt;
        }
    }
    return list;
}

} // namespace turmericswitch::settings
