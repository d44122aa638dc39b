#include "rules/text/parser.hpp"

#include "core/results/last_reason.hpp"
#include "rules/text/body_parser.hpp"
#include "rules/text/token_reader.hpp"
#include "rules/text/values.hpp"

#include <algorithm>

namespace turmericswitch::rules
{

namespace
{

using core::result_code;

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(' ');
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

std::vector<token> tokenize(std::string_view text)
{
    std::vector<token> tokens;
    for (std::size_t at = 0; at < text.size();)
    {
        auto const first = text.find_first_not_of(' ', at);
        if (first == std::string_view::npos)
        {
            break;
        }
        auto const end = std::min(text.find(' ', first), text.size());
        tokens.push_back({text.substr(first, end - first),
                          static_cast<std::uint32_t>(first + 1)});
        at = end;
    }
    return tokens;
}

std::optional<rule_error>
error_at(std::size_t offset, result_code code, std::string expected)
{
    return rule_error{{},
                      0,
                      static_cast<std::uint32_t>(offset + 1),
                      code,
                      std::move(expected)};
}

/// Parses `# asked by NAME: text`.
///
/// @param offset Offset of the `#`, or npos if the line has no comment.
std::optional<rule_error>
parse_requester(std::string_view line, std::size_t offset, rule& target)
{
    auto missing = error_at(std::min(offset, line.size()),
                            result_code::rule_missing_requester,
                            "a trailing comment '# asked by NAME: text'");
    constexpr std::string_view prefix = "asked by ";
    if (offset == std::string_view::npos)
    {
        return missing;
    }
    auto const comment = trimmed(line.substr(offset + 1));
    auto const colon = comment.find(':');
    if (!comment.starts_with(prefix) || colon == std::string_view::npos)
    {
        return missing;
    }
    target.requester = std::string(
        trimmed(comment.substr(prefix.size(), colon - prefix.size())));
    target.reason = std::string(trimmed(comment.substr(colon + 1)));
    return target.requester.empty() || target.reason.empty() ? missing
                                                             : std::nullopt;
}

/// Checks the length, UTF-8 and control characters of any line.
std::optional<rule_error> check_bytes(std::string_view line)
{
    if (line.size() > max_line_bytes)
    {
        return error_at(max_line_bytes,
                        result_code::rule_too_large,
                        "a line of at most " + std::to_string(max_line_bytes) +
                            " bytes");
    }
    std::size_t bad_at = 0;
    if (!is_utf8(line, bad_at))
    {
        return error_at(bad_at, result_code::rule_not_utf8, "UTF-8");
    }
    auto const control = std::find_if(line.begin(),
                                      line.end(),
                                      [](char c)
                                      {
                                          auto const byte =
                                              static_cast<unsigned char>(c);
                                          return byte < 0x20 || byte == 0x7F;
                                      });
    if (control != line.end())
    {
        return error_at(static_cast<std::size_t>(control - line.begin()),
                        result_code::rule_syntax,
                        "no control character");
    }
    return std::nullopt;
}

std::optional<rule_error> parse_line(std::string_view line, rule_line& target)
{
    if (auto error = check_bytes(line))
    {
        return error;
    }
    auto const first = line.find_first_not_of(' ');
    if (first == std::string_view::npos)
    {
        return std::nullopt;
    }
    if (line[first] == '#')
    {
        target.comment = std::string(line);
        return std::nullopt;
    }
    auto const comment = line.find(" #");
    auto const tokens = tokenize(line.substr(0, comment));
    auto const end = std::min(comment, line.size());
    token_reader reader(tokens, static_cast<std::uint32_t>(end + 1));
    auto body = parse_body(reader);
    if (!body)
    {
        return reader.error();
    }
    target.content.emplace().body = std::move(*body);
    auto const offset =
        comment == std::string_view::npos ? comment : comment + 1;
    return parse_requester(line, offset, *target.content);
}

} // namespace

std::string to_string(rule_error const& error)
{
    return error.file + ":" + std::to_string(error.line) + ":" +
           std::to_string(error.column) + ": " +
           std::to_string(static_cast<unsigned>(error.code)) + " " +
           std::string(core::to_string(error.code)) + ": expected " +
           error.expected;
}

std::optional<rule_set> parse(std::string_view text,
                              std::string const& file,
                              std::vector<rule_error>& errors)
{
    errors.clear();
    if (text.size() > max_file_bytes)
    {
        errors.push_back(
            {file,
             1,
             1,
             result_code::rule_too_large,
             "a file of at most " + std::to_string(max_file_bytes) + " bytes"});
        text = {};
    }
    rule_set rules;
    while (!text.empty() && errors.size() < max_errors)
    {
        auto const end = text.find('\n');
        rule_line parsed;
        auto error = parse_line(text.substr(0, end), parsed);
        rules.lines.push_back(std::move(parsed));
        if (rules.lines.size() > max_lines)
        {
            error =
                rule_error{{},
                           0,
                           1,
                           result_code::rule_too_large,
                           "at most " + std::to_string(max_lines) + " lines"};
            text = {};
        }
        if (error)
        {
            error->file = file;
            error->line = static_cast<std::uint32_t>(rules.lines.size());
            errors.push_back(std::move(*error));
        }
        text = end == std::string_view::npos || text.empty()
                   ? std::string_view()
                   : text.substr(end + 1);
    }
    if (!errors.empty())
    {
        return core::fail(errors.front().code, to_string(errors.front()));
    }
    return rules;
}

} // namespace turmericswitch::rules
