#include "rules/text/printer.hpp"

#include "rules/text/values.hpp"

#include <array>

namespace turmericswitch::rules
{

namespace
{

std::string text_of(naming::name_declaration const& rule)
{
    constexpr std::array<char const*, 3> kinds{"instance", "zone", "service"};
    constexpr std::array<char const*, 3> schemes{"short", "dns", "asset"};
    std::string text = "name ";
    text += kinds[static_cast<std::size_t>(rule.kind)];
    for (auto const& [scheme, name] : rule.names)
    {
        text += ' ';
        text += schemes[static_cast<std::size_t>(scheme)];
        text += '=' + name;
    }
    return text;
}

std::string text_of(core::zone_rule const& rule)
{
    bool const in = rule.state == core::zone_state::in_service;
    return "zone " + rule.zone.value() + " region=" + rule.region.value() +
           " state=" + (in ? "in" : "out");
}

std::string text_of(core::service_rule const& rule)
{
    return "service " + rule.service.value() +
           " slots=" + std::to_string(rule.slots_per_backend) +
           " connections=" + std::to_string(rule.connections_per_backend) +
           " queue=" + std::to_string(rule.queue_per_backend) +
           " timeout=" + format_duration(rule.request_timeout) +
           " attempts=" + std::to_string(rule.max_attempts) +
           " retries=" + std::to_string(rule.retry_percent) + "%" +
           " region-bytes=" + format_bytes(rule.region_bytes_per_second) + "/s";
}

std::string text_of(core::route_rule const& rule)
{
    std::string text =
        "route " + rule.path_prefix + " service=" + rule.service.value();
    char separator = '=';
    for (auto const& method : rule.idempotent_methods)
    {
        text += separator == '=' ? " idempotent=" : ",";
        text += method;
        separator = ',';
    }
    return text;
}

std::string text_of(core::colocation_rule const& rule)
{
    bool const may = rule.mode == core::colocation::may_share;
    return std::string(may ? "may-share " : "never-share ") +
           rule.first.value() + " " + rule.second.value();
}

std::string text_of(core::kind_limit_rule const& rule)
{
    return "limit " + rule.kind.value() +
           " per-worker=" + std::to_string(rule.max_per_worker);
}

std::string text_of(core::priority_rule const& rule)
{
    constexpr std::array<char const*, 3> classes{"urgent", "service", "batch"};
    std::string text = "priority " + rule.kind.value() + " class=" +
                       classes[static_cast<std::size_t>(rule.priority)];
    if (rule.deadline_minute)
    {
        text += " deadline=" + format_time_of_day(*rule.deadline_minute);
    }
    return text;
}

std::string text_of(core::quota_rule const& rule)
{
    return "quota " + rule.team.value() + " cpu=" + format_cpu(rule.limit.cpu) +
           " memory=" + format_bytes(rule.limit.memory) +
           " accelerators=" + std::to_string(rule.limit.accelerators.value());
}

std::string text_of(core::leaving_rule const& rule)
{
    return "leaving " + rule.backend.value();
}

} // namespace

std::string print(rule_body const& body)
{
    return std::visit([](auto const& each) { return text_of(each); }, body);
}

std::string print(rule_set const& rules)
{
    std::string text;
    for (auto const& [content, comment] : rules.lines)
    {
        if (content)
        {
            text += print(content->body) + " # asked by " + content->requester +
                    ": " + content->reason;
        }
        else
        {
            text += comment;
        }
        text += '\n';
    }
    return text;
}

} // namespace turmericswitch::rules
