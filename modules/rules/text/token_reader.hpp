#ifndef TURMERICSWITCH_RULES_TEXT_TOKEN_READER_HPP
#define TURMERICSWITCH_RULES_TEXT_TOKEN_READER_HPP

#include "rules/model/rule_set.hpp"
#include "rules/text/values.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::rules
{

/// One word of a line. The text must outlive it.
struct token
{
    std::string_view text;
    /// In bytes, from 1.
    std::uint32_t column = 0;
};

/// One `key=value` word.
struct option
{
    std::string_view key;
    std::string_view value;
    /// Of the value.
    std::uint32_t column = 0;
};

/// Reads the words of one rule from left to right. Use one per line. Only the
/// first fault is kept, as later ones are often its consequence.
class token_reader
{
public:
    /// @param end_column Column after the last word, for missing words.
    token_reader(std::vector<token> tokens, std::uint32_t end_column);

    /// Notes a fault, unless there is one already.
    void report_error(std::uint32_t column,
                      core::result_code code,
                      std::string expected);
    std::optional<rule_error> const& error() const noexcept;

    /// @return Column of the next word, or the end.
    std::uint32_t column() const;
    bool at_end() const noexcept;

    /// @return The next word, or an empty one with a fault.
    std::string next_token(std::string const& expected);
    /// As `next_token`, but a word that is no name is a fault.
    std::string next_name(std::string const& expected);

    /// @param expected The options of this rule, for messages.
    /// @return The next option, or nothing at the end or after a fault.
    std::optional<option> next_option(std::string const& expected);

    /// Notes that an option is not one of those expected.
    void report_unknown(option const& found, std::string const& expected);

    /// Notes a fault if an option was not given.
    void require_option(std::string_view key);

    /// Removes a unit from the value.
    /// @return False with a fault if the value does not end in it.
    bool strip_suffix(option& found, std::string_view suffix);

    /// Stores a value that was read, or notes a fault.
    template <typename Value, typename Target>
    void store(option const& found,
               std::optional<Value> const& value,
               Target& target,
               std::string const& expected)
    {
        if (!value)
        {
            report_error(
                found.column, core::result_code::rule_bad_value, expected);
            return;
        }
        target = Target(*value);
    }

    /// Stores a number from `low` to `high`, or notes a fault.
    void store_number(option const& found,
                      std::uint32_t& target,
                      std::uint32_t low,
                      std::uint32_t high);

private:
    std::vector<token> m_tokens;
    std::uint32_t m_end_column;
    std::size_t m_next = 0;
    std::set<std::string_view> m_seen;
    std::optional<rule_error> m_error;
};

} // namespace turmericswitch::rules

#endif
