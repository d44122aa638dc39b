#include "rules/text/body_parser.hpp"

#include "rules/text/values.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace turmericswitch::rules
{

namespace
{

using core::result_code;

std::optional<std::string> parse_name_value(option const& found)
{
    return is_name(found.value) ? std::optional(std::string(found.value))
                                : std::nullopt;
}

void parse_service_option(token_reader& in,
                          option found,
                          core::service_rule& rule,
                          std::string const& expected)
{
    if (found.key == "slots")
    {
        in.store_number(found, rule.slots_per_backend, 1, 10'000);
    }
    else if (found.key == "connections")
    {
        in.store_number(found, rule.connections_per_backend, 1, 10'000);
    }
    else if (found.key == "queue")
    {
        in.store_number(found, rule.queue_per_backend, 0, 10'000);
    }
    else if (found.key == "attempts")
    {
        in.store_number(found, rule.max_attempts, 1, 10);
    }
    else if (found.key == "timeout")
    {
        in.store(found,
                 parse_duration(found.value),
                 rule.request_timeout,
                 "a time such as 1500ms or 2s");
    }
    else if (found.key == "retries" && in.strip_suffix(found, "%"))
    {
        in.store_number(found, rule.retry_percent, 0, 100);
    }
    else if (found.key == "region-bytes" && in.strip_suffix(found, "/s"))
    {
        in.store(found,
                 parse_bytes(found.value),
                 rule.region_bytes_per_second,
                 "an amount such as 500kB/s");
    }
    else
    {
        in.report_unknown(found, expected);
    }
}

void parse_methods(token_reader& in,
                   option const& found,
                   core::route_rule& rule)
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
            in.report_error(found.column,
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

rule_body parse_name(token_reader& in)
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
    auto const column = in.column();
    auto const kind = kinds.find(in.next_name("instance, zone or service"));
    if (kind == kinds.end())
    {
        in.report_error(
            column, result_code::rule_syntax, "instance, zone or service");
        return rule;
    }
    rule.kind = kind->second;
    while (auto const found = in.next_option("short=, dns= or asset="))
    {
        auto const scheme = schemes.find(found->key);
        if (scheme == schemes.end())
        {
            in.report_unknown(*found, "short=, dns= or asset=");
            break;
        }
        if (!is_name(found->value))
        {
            in.report_error(
                found->column, result_code::rule_bad_value, "a name");
        }
        rule.names.push_back({scheme->second, std::string(found->value)});
    }
    if (rule.names.empty())
    {
        in.report_error(
            in.column(), result_code::rule_syntax, "short=, dns= or asset=");
    }
    return rule;
}

rule_body parse_zone(token_reader& in)
{
    core::zone_rule rule;
    rule.zone = core::zone_id(in.next_name("the name of an availability zone"));
    std::string const expected = "region= or state=";
    while (auto const found = in.next_option(expected))
    {
        if (found->key == "region")
        {
            in.store(*found, parse_name_value(*found), rule.region, "a name");
        }
        else if (found->key == "state")
        {
            std::optional<core::zone_state> state;
            if (found->value == "in" || found->value == "out")
            {
                state = found->value == "in" ? core::zone_state::in_service
                                             : core::zone_state::out_of_service;
            }
            in.store(*found, state, rule.state, "in or out");
        }
        else
        {
            in.report_unknown(*found, expected);
        }
    }
    in.require_option("region");
    return rule;
}

rule_body parse_service(token_reader& in)
{
    core::service_rule rule;
    rule.service = core::service_id(in.next_name("the name of a service"));
    std::string const expected = "slots=, connections=, queue=, timeout=, "
                                 "attempts=, retries= or region-bytes=";
    while (auto const found = in.next_option(expected))
    {
        parse_service_option(in, *found, rule, expected);
    }
    return rule;
}

rule_body parse_route(token_reader& in)
{
    core::route_rule rule;
    auto const column = in.column();
    rule.path_prefix = in.next_token("a path that starts with /");
    if (!rule.path_prefix.starts_with('/'))
    {
        in.report_error(
            column, result_code::rule_syntax, "a path that starts with /");
        return rule;
    }
    std::string const expected = "service= or idempotent=";
    while (auto const found = in.next_option(expected))
    {
        if (found->key == "service")
        {
            in.store(*found, parse_name_value(*found), rule.service, "a name");
        }
        else if (found->key == "idempotent")
        {
            parse_methods(in, *found, rule);
        }
        else
        {
            in.report_unknown(*found, expected);
        }
    }
    in.require_option("service");
    return rule;
}

rule_body parse_colocation(token_reader& in, core::colocation mode)
{
    core::colocation_rule rule;
    rule.first = core::task_kind(in.next_name("a kind of task"));
    rule.second = core::task_kind(in.next_name("a second kind of task"));
    rule.mode = mode;
    return rule;
}

rule_body parse_may_share(token_reader& in)
{
    return parse_colocation(in, core::colocation::may_share);
}

rule_body parse_never_share(token_reader& in)
{
    return parse_colocation(in, core::colocation::never_share);
}

rule_body parse_limit(token_reader& in)
{
    core::kind_limit_rule rule;
    rule.kind = core::task_kind(in.next_name("a kind of task"));
    while (auto const found = in.next_option("per-worker="))
    {
        if (found->key == "per-worker")
        {
            in.store_number(*found, rule.max_per_worker, 0, 100'000);
        }
        else
        {
            in.report_unknown(*found, "per-worker=");
        }
    }
    in.require_option("per-worker");
    return rule;
}

rule_body parse_priority(token_reader& in)
{
    core::priority_rule rule;
    rule.kind = core::task_kind(in.next_name("a kind of task"));
    static std::map<std::string_view, core::priority_class> const classes{
        {"urgent", core::priority_class::urgent},
        {"service", core::priority_class::service},
        {"batch", core::priority_class::batch}};
    std::string const expected = "class= or deadline=";
    while (auto const found = in.next_option(expected))
    {
        if (found->key == "class")
        {
            auto const entry = classes.find(found->value);
            auto const value = entry == classes.end()
                                   ? std::nullopt
                                   : std::optional(entry->second);
            in.store(*found, value, rule.priority, "urgent, service or batch");
        }
        else if (found->key == "deadline")
        {
            in.store(*found,
                     parse_time_of_day(found->value),
                     rule.deadline_minute,
                     "a time such as 06:00 (UTC)");
        }
        else
        {
            in.report_unknown(*found, expected);
        }
    }
    in.require_option("class");
    return rule;
}

rule_body parse_quota(token_reader& in)
{
    core::quota_rule rule;
    rule.team = core::team_id(in.next_name("the name of a team"));
    std::string const expected = "cpu=, memory= or accelerators=";
    std::uint32_t accelerators = 0;
    while (auto const found = in.next_option(expected))
    {
        if (found->key == "cpu")
        {
            in.store(*found,
                     parse_cpu(found->value),
                     rule.limit.cpu,
                     "processors such as 32cores or 500m");
        }
        else if (found->key == "memory")
        {
            in.store(*found,
                     parse_bytes(found->value),
                     rule.limit.memory,
                     "an amount such as 64GiB");
        }
        else if (found->key == "accelerators")
        {
            in.store_number(*found, accelerators, 0, 1'000'000);
        }
        else
        {
            in.report_unknown(*found, expected);
        }
    }
    rule.limit.accelerators = core::accelerator_count(accelerators);
    in.require_option("cpu");
    in.require_option("memory");
    return rule;
}

rule_body parse_leaving(token_reader& in)
{
    return core::leaving_rule{
        core::backend_id(in.next_name("the name of a backend server"))};
}

using body_parser = rule_body (*)(token_reader&);

std::map<std::string, body_parser> const& body_parsers()
{
    static std::map<std::string, body_parser> const all{
        {"name", parse_name},
        {"zone", parse_zone},
        {"service", parse_service},
        {"route", parse_route},
        {"may-share", parse_may_share},
        {"never-share", parse_never_share},
        {"limit", parse_limit},
        {"priority", parse_priority},
        {"quota", parse_quota},
        {"leaving", parse_leaving}};
    return all;
}

} // namespace

std::optional<rule_body> parse_body(token_reader& in)
{
    auto const column = in.column();
    auto const kind = body_parsers().find(in.next_token("a rule"));
    if (kind == body_parsers().end())
    {
        in.report_error(
            column,
            result_code::rule_unknown_kind,
            "name, zone, service, route, may-share, never-share, limit, "
            "priority, quota or leaving");
        return std::nullopt;
    }
    rule_body body = kind->second(in);
    if (!in.at_end())
    {
        in.report_error(
            in.column(), result_code::rule_syntax, "the end of the rule");
    }
    return in.error() ? std::nullopt : std::optional(std::move(body));
}

} // namespace turmericswitch::rules
