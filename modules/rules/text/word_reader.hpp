#ifndef TURMERICSWITCH_RULES_TEXT_WORD_READER_HPP
#define TURMERICSWITCH_RULES_TEXT_WORD_READER_HPP

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
class word_reader
{
public:
    /// @param end Column after the last word, for missing words.
    word_reader(std::vector<token> words, std::uint32_t end);

    /// Notes a fault, unless there is one already.
    void
    fault(std::uint32_t column, core::result_code code, std::string expected);
    std::optional<rule_error> const& error() const noexcept;

    /// @return Column of the next word, or the end.
    std::uint32_t column() const;
    bool at_end() const noexcept;

    /// @return The next word, or an empty one with a fault.
    std::string any_word(std::string const& expected);
    /// As `any_word`, but a word that is no name is a fault.
    std::string word(std::string const& expected);

    /// @param known The options of this rule, for messages.
    /// @return The next option, or nothing at the end or after a fault.
    std::optional<option> next_option(std::string const& known);

    /// Notes that an option is not one of those known.
    void unknown(option const& found, std::string const& known);

    /// Notes a fault if an option was not given.
    void require(std::string_view key);

    /// Removes a unit from the value.
    /// @return False with a fault if the value does not end in it.
    bool strip(option& found, std::string_view suffix);

    /// Stores a value that was read, or notes a fault.
    template <typename Value, typename Target>
    void store(option const& found,
               std::optional<Value> const& value,
               Target& target,
               std::string const& expected)
    {
        if (!value)
        {
            fault(found.column, core::result_code::rule_bad_value, expected);
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
    std::vector<token> m_words;
    std::uint32_t m_end;
    std::size_t m_next = 0;
    std::set<std::string_view> m_seen;
    std::optional<rule_error> m_error;
};

} // namespace turmericswitch::rules

#endif
