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

/// One word of a line. `text` refers to the line, which must outlive it.
struct token
{
    std::string_view text;
    /// Byte position in the line, from 1.
    std::uint32_t column = 0;
};

/// One `key=value` token.
struct option
{
    std::string_view key;
    std::string_view value;
    /// Column of the value.
    std::uint32_t column = 0;
};

/// Reads the tokens of one line from left to right. Keeps only the first error
/// of the line, as later ones are often its consequence.
class token_reader
{
public:
    /// @param end_column Column after the last token; errors about a missing
    /// token point to it.
    token_reader(std::vector<token> tokens, std::uint32_t end_column);

    /// Records an error, unless there is one already.
    void report_error(std::uint32_t column,
                      core::result_code code,
                      std::string expected);
    std::optional<rule_error> const& error() const noexcept;

    /// @return Column of the next token, or after the last one at the end.
    std::uint32_t column() const;
    bool at_end() const noexcept;

    /// @param expected What the caller looks for, for the error.
    /// @return The next token; at the end, an empty text and an error.
    std::string next_token(std::string const& expected);
    /// Like next_token(), but records an error if the token isn't a name.
    std::string next_name(std::string const& expected);

    /// @param expected The options of this rule, for the error.
    /// @return The next option, or nothing at the end or after an error.
    std::optional<option> next_option(std::string const& expected);

    /// Records an error for an option that the rule doesn't have.
    void report_unknown(option const& found, std::string const& expected);

    /// Records an error if next_option() has not returned this key.
    void require_option(std::string_view key);

    /// Removes a unit from the end of the value.
    /// @return False, with an error, if the value doesn't end in it.
    bool strip_suffix(option& found, std::string_view suffix);

    /// Stores a parsed value, or records an error if there is none.
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

    /// Stores a number from `low` to `high`, or records an error.
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
