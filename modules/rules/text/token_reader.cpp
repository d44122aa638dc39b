#include "rules/text/token_reader.hpp"

namespace turmericswitch::rules
{

using core::result_code;

token_reader::token_reader(std::vector<token> tokens, std::uint32_t end_column)
    : m_tokens(std::move(tokens)), m_end_column(end_column)
{
}

void token_reader::report_error(std::uint32_t column,
                                result_code code,
                                std::string expected)
{
    if (!m_error)
    {
        m_error = rule_error{{}, 0, column, code, std::move(expected)};
    }
}

std::optional<rule_error> const& token_reader::error() const noexcept
{
    return m_error;
}

std::uint32_t token_reader::column() const
{
    return at_end() ? m_end_column : m_tokens[m_next].column;
}

bool token_reader::at_end() const noexcept
{
    return m_next >= m_tokens.size();
}

std::string token_reader::next_token(std::string const& expected)
{
    if (at_end())
    {
        report_error(m_end_column, result_code::rule_syntax, expected);
        return {};
    }
    return std::string(m_tokens[m_next++].text);
}

std::string token_reader::next_name(std::string const& expected)
{
    auto const start = column();
    auto text = next_token(expected);
    if (!is_name(text))
    {
        report_error(start, result_code::rule_bad_value, expected);
    }
    return text;
}

std::optional<option> token_reader::next_option(std::string const& expected)
{
    if (at_end() || m_error)
    {
        return std::nullopt;
    }
    auto const& next = m_tokens[m_next++];
    auto const split = next.text.find('=');
    if (split == std::string_view::npos)
    {
        report_error(next.column, result_code::rule_syntax, expected);
        return std::nullopt;
    }
    option const found{next.text.substr(0, split),
                       next.text.substr(split + 1),
                       next.column + static_cast<std::uint32_t>(split + 1)};
    if (!m_seen.insert(found.key).second)
    {
        report_error(next.column, result_code::rule_syntax, "each option once");
        return std::nullopt;
    }
    return found;
}

void token_reader::report_unknown(option const& found,
                                  std::string const& expected)
{
    auto const key_bytes = static_cast<std::uint32_t>(found.key.size());
    report_error(
        found.column - key_bytes - 1, result_code::rule_syntax, expected);
}

void token_reader::require_option(std::string_view key)
{
    if (!m_seen.contains(key))
    {
        report_error(m_end_column,
                     result_code::rule_syntax,
                     "the option " + std::string(key) + "=");
    }
}

bool token_reader::strip_suffix(option& found, std::string_view suffix)
{
    if (!found.value.ends_with(suffix))
    {
        report_error(found.column,
                     result_code::rule_bad_value,
                     "a number ending in " + std::string(suffix));
        return false;
    }
    found.value.remove_suffix(suffix.size());
    return true;
}

void token_reader::store_number(option const& found,
                                std::uint32_t& target,
                                std::uint32_t low,
                                std::uint32_t high)
{
    store(found,
          parse_number(found.value, low, high),
          target,
          "a number from " + std::to_string(low) + " to " +
              std::to_string(high));
}

} // namespace turmericswitch::rules
