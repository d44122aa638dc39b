#include "rules/text/word_reader.hpp"

namespace turmericswitch::rules
{

using core::result_code;

word_reader::word_reader(std::vector<token> words, std::uint32_t end)
    : m_words(std::move(words)), m_end(end)
{
}

void word_reader::fault(std::uint32_t column,
                        result_code code,
                        std::string expected)
{
    if (!m_error)
    {
        m_error = rule_error{{}, 0, column, code, std::move(expected)};
    }
}

std::optional<rule_error> const& word_reader::error() const noexcept
{
    return m_error;
}

std::uint32_t word_reader::column() const
{
    return at_end() ? m_end : m_words[m_next].column;
}

bool word_reader::at_end() const noexcept
{
    return m_next >= m_words.size();
}

std::string word_reader::any_word(std::string const& expected)
{
    if (at_end())
    {
        fault(m_end, result_code::rule_syntax, expected);
        return {};
    }
    return std::string(m_words[m_next++].text);
}

std::string word_reader::word(std::string const& expected)
{
    auto const at = column();
    auto text = any_word(expected);
    if (!is_name(text))
    {
        fault(at, result_code::rule_bad_value, expected);
    }
    return text;
}

std::optional<option> word_reader::next_option(std::string const& known)
{
    if (at_end() || m_error)
    {
        return std::nullopt;
    }
    auto const& next = m_words[m_next++];
    auto const split = next.text.find('=');
    if (split == std::string_view::npos)
    {
        fault(next.column, result_code::rule_syntax, known);
        return std::nullopt;
    }
    option const found{next.text.substr(0, split),
                       next.text.substr(split + 1),
                       next.column + static_cast<std::uint32_t>(split + 1)};
    if (!m_seen.insert(found.key).second)
    {
        fault(next.column, result_code::rule_syntax, "each option once");
        return std::nullopt;
    }
    return found;
}

void word_reader::unknown(option const& found, std::string const& known)
{
    auto const key_bytes = static_cast<std::uint32_t>(found.key.size());
    fault(found.column - key_bytes - 1, result_code::rule_syntax, known);
}

void word_reader::require(std::string_view key)
{
    if (!m_seen.contains(key))
    {
        fault(m_end,
              result_code::rule_syntax,
              "the option " + std::string(key) + "=");
    }
}

bool word_reader::strip(option& found, std::string_view suffix)
{
    if (!found.value.ends_with(suffix))
    {
        fault(found.column,
              result_code::rule_bad_value,
              "a number ending in " + std::string(suffix));
        return false;
    }
    found.value.remove_suffix(suffix.size());
    return true;
}

void word_reader::store_number(option const& found,
                               std::uint32_t& target,
                               std::uint32_t low,
                               std::uint32_t high)
{
    store(found,
          read_number(found.value, low, high),
          target,
          "a number from " + std::to_string(low) + " to " +
              std::to_string(high));
}

} // namespace turmericswitch::rules
