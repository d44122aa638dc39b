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

std::optional<std::string> name_value(option const& found)
{
    return is_name(found.value) ? std::optional(std::string(found.value))
                                : std::nullopt;
}

void service_option(word_reader& in,
                    option found,
                    core::service_rule& rule,
                    std::string const& known)
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
                 read_duration(found.value),
                 rule.request_timeout,
                 "a time such as 1500ms or 2s");
    }
    else if (found.key == "retries" && in.strip(found, "%"))
    {
        in.store_number(found, rule.retry_percent, 0, 100);
    }
    else if (found.key == "region-bytes" && in.strip(found, "/s"))
    {
        in.store(found,
                 read_bytes(found.value),
                 rule.region_bytes_per_second,
                 "an amount such as 500kB/s");
    }
    else
    {
        in.unknown(found, known);
    }
}

void methods(word_reader& in, option const& found, core::route_rule& rule)
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
            in.fault(found.column,
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

rule_body name(word_reader& in)
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
    auto const at = in.column();
    auto const kind = kinds.find(in.word("instance, zone or service"));
    if (kind == kinds.end())
    {
        in.fault(at, result_code::rule_syntax, "instance, zone or service");
        return rule;
    }
    rule.kind = kind->second;
    while (auto const found = in.next_option("short=, dns= or asset="))
    {
        auto const scheme = schemes.find(found->key);
        if (scheme == schemes.end())
        {
            in.unknown(*found, "short=, dns= or asset=");
            break;
        }
        if (!is_name(found->value))
        {
            in.fault(found->column, result_code::rule_bad_value, "a name");
        }
        rule.names.push_back({scheme->second, std::string(found->value)});
    }
    if (rule.names.empty())
    {
        in.fault(
            in.column(), result_code::rule_syntax, "short=, dns= or asset=");
    }
    return rule;
}

rule_body zone(word_reader& in)
{
    core::zone_rule rule;
    rule.zone = core::zone_id(in.word("the name of an availability zone"));
    std::string const known = "region= or state=";
    while (auto const found = in.next_option(known))
    {
        if (found->key == "region")
        {
            in.store(*found, name_value(*found), rule.region, "a name");
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
            in.unknown(*found, known);
        }
    }
    in.require("region");
    return rule;
}

rule_body service(word_reader& in)
{
    core::service_rule rule;
    rule.service = core::service_id(in.word("the name of a service"));
    std::string const known = "slots=, connections=, queue=, timeout=, "
                              "attempts=, retries= or region-bytes=";
    while (auto const found = in.next_option(known))
    {
        service_option(in, *found, rule, known);
    }
    return rule;
}

rule_body route(word_reader& in)
{
    core::route_rule rule;
    auto const at = in.column();
    rule.path_prefix = in.any_word("a path that starts with /");
    if (!rule.path_prefix.starts_with('/'))
    {
        in.fault(at, result_code::rule_syntax, "a path that starts with /");
        return rule;
    }
    std::string const known = "service= or idempotent=";
    while (auto const found = in.next_option(known))
    {
        if (found->key == "service")
        {
            in.store(*found, name_value(*found), rule.service, "a name");
        }
        else if (found->key == "idempotent")
        {
            methods(in, *found, rule);
        }
        else
        {
            in.unknown(*found, known);
        }
    }
    in.require("service");
    return rule;
}

rule_body share(word_reader& in, core::colocation mode)
{
    core::colocation_rule rule;
    rule.first = core::task_kind(in.word("a kind of task"));
    rule.second = core::task_kind(in.word("a second kind of task"));
    rule.mode = mode;
    return rule;
}

rule_body may_share(word_reader& in)
{
    return share(in, core::colocation::may_share);
}

rule_body never_share(word_reader& in)
{
    return share(in, core::colocation::never_share);
}

rule_body limit(word_reader& in)
{
    core::kind_limit_rule rule;
    rule.kind = core::task_kind(in.word("a kind of task"));
    while (auto const found = in.next_option("per-worker="))
    {
        if (found->key == "per-worker")
        {
            in.store_number(*found, rule.max_per_worker, 0, 100'000);
        }
        else
        {
            in.unknown(*found, "per-worker=");
        }
    }
    in.require("per-worker");
    return rule;
}

rule_body priority(word_reader& in)
{
    core::priority_rule rule;
    rule.kind = core::task_kind(in.word("a kind of task"));
    static std::map<std::string_view, core::priority_class> const classes{
        {"urgent", core::priority_class::urgent},
        {"service", core::priority_class::service},
        {"batch", core::priority_class::batch}};
    std::string const known = "class= or deadline=";
    while (auto const found = in.next_option(known))
    {
        if (found->key == "class")
        {
            auto const at = classes.find(found->value);
            auto const value =
                at == classes.end() ? std::nullopt : std::optional(at->second);
            in.store(*found, value, rule.priority, "urgent, service or batch");
        }
        else if (found->key == "deadline")
        {
            in.store(*found,
                     read_minute(found->value),
                     rule.deadline_minute,
                     "a time such as 06:00 (UTC)");
        }
        else
        {
            in.unknown(*found, known);
        }
    }
    in.require("class");
    return rule;
}

rule_body quota(word_reader& in)
{
    core::quota_rule rule;
    rule.team = core::team_id(in.word("the name of a team"));
    std::string const known = "cpu=, memory= or accelerators=";
    std::uint32_t accelerators = 0;
    while (auto const found = in.next_option(known))
    {
        if (found->key == "cpu")
        {
            in.store(*found,
                     read_cpu(found->value),
                     rule.limit.cpu,
                     "processors such as 32cores or 500m");
        }
        else if (found->key == "memory")
        {
            in.store(*found,
                     read_bytes(found->value),
                     rule.limit.memory,
                     "an amount such as 64GiB");
        }
        else if (found->key == "accelerators")
        {
            in.store_number(*found, accelerators, 0, 1'000'000);
        }
        else
        {
            in.unknown(*found, known);
        }
    }
    rule.limit.accelerators = core::accelerator_count(accelerators);
    in.require("cpu");
    in.require("memory");
    return rule;
}

rule_body leaving(word_reader& in)
{
    return core::leaving_rule{
        core::backend_id(in.word("the name of a backend server"))};
}

using body_function = rule_body (*)(word_reader&);

std::map<std::string, body_function> const& body_functions()
{
    static std::map<std::string, body_function> const all{
        {"name", name},
        {"zone", zone},
        {"service", service},
        {"route", route},
        {"may-share", may_share},
        {"never-share", never_share},
        {"limit", limit},
        {"priority", priority},
        {"quota", quota},
        {"leaving", leaving}};
    return all;
}

} // namespace

std::optional<rule_body> parse_body(word_reader& in)
{
    auto const at = in.column();
    auto const kind = body_functions().find(in.any_word("a rule"));
    if (kind == body_functions().end())
    {
        in.fault(at,
                 result_code::rule_unknown_kind,
                 "name, zone, service, route, may-share, never-share, limit, "
                 "priority, quota or leaving");
        return std::nullopt;
    }
    rule_body body = kind->second(in);
    if (!in.at_end())
    {
        in.fault(in.column(), result_code::rule_syntax, "the end of the rule");
    }
    return in.error() ? std::nullopt : std::optional(std::move(body));
}

} // namespace turmericswitch::rules
