#include "rules/text/parser.hpp"

#include "core/results/last_reason.hpp"
#include "rules/text/values.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace turmericswitch::rules
{

namespace
{

using core::result_code;

struct token
{
    std::string_view text;
    std::uint32_t column = 0;
};

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(' ');
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

/// Parses the words of one rule. The first fault is kept; later calls of a
/// failed parser change nothing.
class line_parser
{
public:
    explicit line_parser(std::vector<token> words, std::uint32_t end)
        : m_words(std::move(words)), m_end(end)
    {
    }

    std::optional<rule_body> parse_body()
    {
        std::string const keyword(m_words.front().text);
        m_next = 1;
        static std::map<std::string, rule_body (line_parser::*)()> const kinds{
            {"name", &line_parser::name},
            {"zone", &line_parser::zone},
            {"service", &line_parser::service},
            {"route", &line_parser::route},
            {"may-share", &line_parser::may_share},
            {"never-share", &line_parser::never_share},
            {"limit", &line_parser::limit},
            {"priority", &line_parser::priority},
            {"quota", &line_parser::quota},
            {"leaving", &line_parser::leaving}};
        auto const kind = kinds.find(keyword);
        if (kind == kinds.end())
        {
            fault(m_words.front().column,
                  result_code::rule_unknown_kind,
                  "name, zone, service, route, may-share, never-share, limit, "
                  "priority, quota or leaving");
            return std::nullopt;
        }
        rule_body body = (this->*kind->second)();
        if (m_next < m_words.size())
        {
            fault(m_words[m_next].column,
                  result_code::rule_syntax,
                  "the end of the rule");
        }
        return m_error ? std::nullopt : std::optional(std::move(body));
    }

    std::optional<rule_error> const& error() const
    {
        return m_error;
    }

private:
    struct option
    {
        std::string_view key;
        std::string_view value;
        std::uint32_t column;
    };

    void fault(std::uint32_t column, result_code code, std::string expected)
    {
        if (!m_error)
        {
            m_error = rule_error{{}, 0, column, code, std::move(expected)};
        }
    }

    std::string word(std::string const& expected)
    {
        if (m_next >= m_words.size())
        {
            fault(m_end, result_code::rule_syntax, expected);
            return {};
        }
        auto const& next = m_words[m_next++];
        if (!is_name(next.text))
        {
            fault(next.column, result_code::rule_bad_value, expected);
        }
        return std::string(next.text);
    }

    std::optional<option> next_option(std::string const& known)
    {
        if (m_next >= m_words.size() || m_error)
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

    void unknown(option const& found, std::string const& known)
    {
        auto const key_bytes = static_cast<std::uint32_t>(found.key.size());
        fault(found.column - key_bytes - 1, result_code::rule_syntax, known);
    }

    template <typename Value, typename Target>
    void store(option const& found,
               std::optional<Value> const& value,
               Target& target,
               std::string const& expected)
    {
        if (!value)
        {
            fault(found.column, result_code::rule_bad_value, expected);
            return;
        }
        target = Target(*value);
    }

    void store_number(option const& found,
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

    void require(std::string_view key)
    {
        if (!m_seen.contains(key))
        {
            fault(m_end,
                  result_code::rule_syntax,
                  "the option " + std::string(key) + "=");
        }
    }

    rule_body name()
    {
        naming::name_declaration rule;
        static std::map<std::string_view, core::name_kind> const kinds{
            {"instance", core::name_kind::instance},
            {"zone", core::name_kind::zone},
            {"service", core::name_kind::service}};
        static std::map<std::string_view, naming::name_scheme> const schemes{
            {"short", naming::name_scheme::short_name},
            {"dns", naming::name_scheme::dns},
            {"asset", naming::name_scheme::asset}};
        auto const at =
            m_next < m_words.size() ? m_words[m_next].column : m_end;
        auto const kind = kinds.find(word("instance, zone or service"));
        if (kind == kinds.end())
        {
            fault(at, result_code::rule_syntax, "instance, zone or service");
            return rule;
        }
        rule.kind = kind->second;
        while (auto const found = next_option("short=, dns= or asset="))
        {
            auto const scheme = schemes.find(found->key);
            if (scheme == schemes.end())
            {
                unknown(*found, "short=, dns= or asset=");
                break;
            }
            if (!is_name(found->value))
            {
                fault(found->column, result_code::rule_bad_value, "a name");
            }
            rule.names.push_back({scheme->second, std::string(found->value)});
        }
        if (rule.names.empty())
        {
            fault(m_end, result_code::rule_syntax, "short=, dns= or asset=");
        }
        return rule;
    }

    rule_body zone()
    {
        core::zone_rule rule;
        rule.zone = core::zone_id(word("the name of an availability zone"));
        std::string const known = "region= or state=";
        while (auto const found = next_option(known))
        {
            if (found->key == "region")
            {
                store(*found, name_value(*found), rule.region, "a name");
            }
            else if (found->key == "state")
            {
                std::optional<core::zone_state> state;
                if (found->value == "in" || found->value == "out")
                {
                    state = found->value == "in"
                                ? core::zone_state::in_service
                                : core::zone_state::out_of_service;
                }
                store(*found, state, rule.state, "in or out");
            }
            else
            {
                unknown(*found, known);
            }
        }
        require("region");
        return rule;
    }

    rule_body service()
    {
        core::service_rule rule;
        rule.service = core::service_id(word("the name of a service"));
        std::string const known = "slots=, connections=, queue=, timeout=, "
                                  "attempts=, retries= or region-bytes=";
        while (auto const found = next_option(known))
        {
            service_option(*found, rule, known);
        }
        return rule;
    }

    void service_option(option found,
                        core::service_rule& rule,
                        std::string const& known)
    {
        if (found.key == "slots")
        {
            store_number(found, rule.slots_per_backend, 1, 10'000);
        }
        else if (found.key == "connections")
        {
            store_number(found, rule.connections_per_backend, 1, 10'000);
        }
        else if (found.key == "queue")
        {
            store_number(found, rule.queue_per_backend, 0, 10'000);
        }
        else if (found.key == "attempts")
        {
            store_number(found, rule.max_attempts, 1, 10);
        }
        else if (found.key == "timeout")
        {
            store(found,
                  read_duration(found.value),
                  rule.request_timeout,
                  "a time such as 1500ms or 2s");
        }
        else if (found.key == "retries" && strip(found, "%"))
        {
            store_number(found, rule.retry_percent, 0, 100);
        }
        else if (found.key == "region-bytes" && strip(found, "/s"))
        {
            store(found,
                  read_bytes(found.value),
                  rule.region_bytes_per_second,
                  "an amount such as 500kB/s");
        }
        else
        {
            unknown(found, known);
        }
    }

    bool strip(option& found, std::string_view suffix)
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

    std::optional<std::string> name_value(option const& found)
    {
        return is_name(found.value) ? std::optional(std::string(found.value))
                                    : std::nullopt;
    }

    rule_body route()
    {
        core::route_rule rule;
        if (m_next >= m_words.size() || m_words[m_next].text.front() != '/')
        {
            fault(m_next < m_words.size() ? m_words[m_next].column : m_end,
                  result_code::rule_syntax,
                  "a path that starts with /");
            return rule;
        }
        rule.path_prefix = std::string(m_words[m_next++].text);
        std::string const known = "service= or idempotent=";
        while (auto const found = next_option(known))
        {
            if (found->key == "service")
            {
                store(*found, name_value(*found), rule.service, "a name");
            }
            else if (found->key == "idempotent")
            {
                methods(*found, rule);
            }
            else
            {
                unknown(*found, known);
            }
        }
        require("service");
        return rule;
    }

    void methods(option const& found, core::route_rule& rule)
    {
        std::set<std::string> all;
        std::string_view rest = found.value;
        while (true)
        {
            auto const comma = rest.find(',');
            std::string method(rest.substr(0, comma));
            bool const upper =
                !method.empty() &&
                std::all_of(method.begin(),
                            method.end(),
                            [](char c) { return c >= 'A' && c <= 'Z'; });
            if (!upper || !all.insert(method).second)
            {
                fault(found.column,
                      result_code::rule_bad_value,
                      "methods such as GET,PUT, each once");
                return;
            }
            rule.idempotent_methods.push_back(std::move(method));
            if (comma == std::string_view::npos)
            {
                return;
            }
            rest.remove_prefix(comma + 1);
        }
    }

    rule_body share(core::colocation mode)
    {
        core::colocation_rule rule;
        rule.first = core::task_kind(word("a kind of task"));
        rule.second = core::task_kind(word("a second kind of task"));
        rule.mode = mode;
        return rule;
    }

    rule_body may_share()
    {
        return share(core::colocation::may_share);
    }

    rule_body never_share()
    {
        return share(core::colocation::never_share);
    }

    rule_body limit()
    {
        core::kind_limit_rule rule;
        rule.kind = core::task_kind(word("a kind of task"));
        while (auto const found = next_option("per-worker="))
        {
            if (found->key == "per-worker")
            {
                store_number(*found, rule.max_per_worker, 0, 100'000);
            }
            else
            {
                unknown(*found, "per-worker=");
            }
        }
        require("per-worker");
        return rule;
    }

    rule_body priority()
    {
        core::priority_rule rule;
        rule.kind = core::task_kind(word("a kind of task"));
        static std::map<std::string_view, core::priority_class> const classes{
            {"urgent", core::priority_class::urgent},
            {"service", core::priority_class::service},
            {"batch", core::priority_class::batch}};
        std::string const known = "class= or deadline=";
        while (auto const found = next_option(known))
        {
            if (found->key == "class")
            {
                auto const at = classes.find(found->value);
                auto const value = at == classes.end()
                                       ? std::nullopt
                                       : std::optional(at->second);
                store(*found, value, rule.priority, "urgent, service or batch");
            }
            else if (found->key == "deadline")
            {
                store(*found,
                      read_minute(found->value),
                      rule.deadline_minute,
                      "a time such as 06:00 (UTC)");
            }
            else
            {
                unknown(*found, known);
            }
        }
        require("class");
        return rule;
    }

    rule_body quota()
    {
        core::quota_rule rule;
        rule.team = core::team_id(word("the name of a team"));
        std::string const known = "cpu=, memory= or accelerators=";
        std::uint32_t accelerators = 0;
        while (auto const found = next_option(known))
        {
            if (found->key == "cpu")
            {
                store(*found,
                      read_cpu(found->value),
                      rule.limit.cpu,
                      "processors such as 32cores or 500m");
            }
            else if (found->key == "memory")
            {
                store(*found,
                      read_bytes(found->value),
                      rule.limit.memory,
                      "an amount such as 64GiB");
            }
            else if (found->key == "accelerators")
            {
                store_number(*found, accelerators, 0, 1'000'000);
            }
            else
            {
                unknown(*found, known);
            }
        }
        rule.limit.accelerators = core::accelerator_count(accelerators);
        require("cpu");
        require("memory");
        return rule;
    }

    rule_body leaving()
    {
        return core::leaving_rule{
            core::backend_id(word("the name of a backend server"))};
    }

    std::vector<token> m_words;
    std::uint32_t m_end;
    std::size_t m_next = 0;
    std::set<std::string_view> m_seen;
    std::optional<rule_error> m_error;
};

std::vector<token> split_words(std::string_view text)
{
    std::vector<token> words;
    for (std::size_t at = 0; at < text.size();)
    {
        auto const first = text.find_first_not_of(' ', at);
        if (first == std::string_view::npos)
        {
            break;
        }
        auto const end = std::min(text.find(' ', first), text.size());
        words.push_back({text.substr(first, end - first),
                         static_cast<std::uint32_t>(first + 1)});
        at = end;
    }
    return words;
}

std::optional<rule_error>
fault_at(std::size_t offset, result_code code, std::string expected)
{
    return rule_error{
        {}, 0, static_cast<std::uint32_t>(offset + 1), code, expected};
}

/// Reads `# asked by NAME: text`, which starts at `at`.
std::optional<rule_error>
parse_requester(std::string_view line, std::size_t at, rule& target)
{
    auto const missing = fault_at(std::min(at, line.size()),
                                  result_code::rule_missing_requester,
                                  "a trailing comment '# asked by NAME: text'");
    constexpr std::string_view opening = "asked by ";
    if (at == std::string_view::npos)
    {
        return missing;
    }
    auto const comment = trimmed(line.substr(at + 1));
    auto const colon = comment.find(':');
    if (!comment.starts_with(opening) || colon == std::string_view::npos)
    {
        return missing;
    }
    target.requester = std::string(
        trimmed(comment.substr(opening.size(), colon - opening.size())));
    target.reason = std::string(trimmed(comment.substr(colon + 1)));
    return target.requester.empty() || target.reason.empty() ? missing
                                                             : std::nullopt;
}

/// Checks that hold for every line, before it is taken apart.
std::optional<rule_error> check_bytes(std::string_view line)
{
    if (line.size() > max_line_bytes)
    {
        return fault_at(max_line_bytes,
                        result_code::rule_too_large,
                        "a line of at most " + std::to_string(max_line_bytes) +
                            " bytes");
    }
    std::size_t bad_at = 0;
    if (!is_utf8(line, bad_at))
    {
        return fault_at(bad_at, result_code::rule_not_utf8, "UTF-8");
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
        return fault_at(static_cast<std::size_t>(control - line.begin()),
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
    auto const words = split_words(line.substr(0, comment));
    auto const end = std::min(comment, line.size());
    line_parser parser(words, static_cast<std::uint32_t>(end + 1));
    auto body = parser.parse_body();
    if (!body)
    {
        return parser.error();
    }
    target.content.emplace().body = std::move(*body);
    auto const at = comment == std::string_view::npos ? comment : comment + 1;
    return parse_requester(line, at, *target.content);
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
