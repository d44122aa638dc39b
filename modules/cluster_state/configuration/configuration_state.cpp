#include "cluster_state/configuration/configuration_state.hpp"

#include "core/config/queue_address.hpp"
#include "rules/rules.hpp"
#include "wire/codec/checksum.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>

namespace turmericswitch::cluster_state
{

namespace
{

using core::name_kind;
using core::result_code;

constexpr char const* rules_file = "rules";

std::optional<core::configuration>
parse_and_compile(std::string const& text,
                  rules::rule_set& parsed,
                  std::vector<rules::rule_error>& why)
{
    auto rules = rules::parse(text, rules_file, why);
    if (!rules)
    {
        return std::nullopt;
    }
    parsed = std::move(*rules);
    return rules::compile(parsed, rules_file, why);
}

std::string join(std::set<std::string> const& parts)
{
    std::string text;
    for (auto const& part : parts)
    {
        text += (text.empty() ? "" : ", ") + part;
    }
    return text;
}

core::change_record describe(std::vector<rules::rule_change> const& changes)
{
    core::change_record record;
    std::set<std::string> requesters;
    for (auto const& change : changes)
    {
        auto const& rule = change.after ? change.after : change.before;
        if (requesters.size() < 16)
        {
            requesters.insert(rule->requester);
        }
        if (record.text.size() < max_change_bytes)
        {
            record.text += rules::to_string(change) + '\n';
        }
    }
    if (record.text.size() > max_change_bytes)
    {
        record.text.resize(max_change_bytes);
    }
    record.requested_by = join(requesters);
    return record;
}

core::command_reply refusal(result_code code, std::string text)
{
    core::command_reply reply;
    reply.code = code;
    reply.text = std::move(text);
    return reply;
}

} // namespace

core::command_reply configuration_state::apply(core::apply_rules const& command,
                                               core::wall_time wall)
{
    if (command.replaces != m_current)
    {
        auto reply =
            refusal(result_code::revision_conflict,
                    "revision " + std::to_string(m_current.value()) + " by " +
                        m_author.value() + " is in force; yours replaces " +
                        std::to_string(command.replaces.value()));
        reply.winner = m_author;
        return reply;
    }
    rules::rule_set parsed;
    std::vector<rules::rule_error> errors;
    auto config = parse_and_compile(command.text, parsed, errors);
    if (!config)
    {
        std::string text;
        for (auto const& error : errors)
        {
            text += rules::to_string(error) + '\n';
        }
        return refusal(errors.front().code, text);
    }
    auto change = describe(rules::diff(m_rules, parsed));
    change.author = command.author;
    change.wall = wall;
    m_text = command.text;
    m_rules = std::move(parsed);
    m_compiled = std::move(*config);
    accept(std::move(change));
    return refusal(result_code::ok, zones_out_by_command());
}

std::string configuration_state::zones_out_by_command() const
{
    std::string text;
    for (auto const& command : m_zone_commands)
    {
        text += "availability zone " + command.names.front() +
                " stays out by command of " + command.author.value() + "\n";
    }
    return text;
}

std::string configuration_state::canonical_zone(core::zone_id const& zone) const
{
    return m_names.resolve_or_same(name_kind::zone, zone.value());
}

core::command_reply configuration_state::apply(core::set_zone const& command,
                                               core::wall_time wall)
{
    auto const name = canonical_zone(command.zone);
    auto const rule = std::find_if(m_compiled.zones.begin(),
                                   m_compiled.zones.end(),
                                   [&name](core::zone_rule const& each)
                                   { return each.zone.value() == name; });
    if (rule == m_compiled.zones.end())
    {
        return refusal(result_code::name_unknown,
                       "no rule declares the availability zone " +
                           command.zone.value());
    }
    bool const out = command.state == core::zone_state::out_of_service;
    if (!out && rule->state == core::zone_state::out_of_service)
    {
        return refusal(result_code::rule_conflict,
                       "availability zone " + name +
                           " is out by a rule; change the rules file first");
    }
    auto const matches = [this, &name](core::zone_command const& each)
    {
        return std::any_of(
            each.names.begin(),
            each.names.end(),
            [this, &name](std::string const& known)
            { return canonical_zone(core::zone_id(known)) == name; });
    };
    bool const is_commanded =
        std::any_of(m_zone_commands.begin(), m_zone_commands.end(), matches);
    if (out == is_commanded)
    {
        return {};
    }
    if (out)
    {
        core::zone_command added{{name}, command.author, command.requested_by};
        for (auto const& entry : m_compiled.names)
        {
            if (entry.kind == name_kind::zone && entry.canonical == name)
            {
                added.names.insert(added.names.end(),
                                   entry.aliases.begin(),
                                   entry.aliases.end());
            }
        }
        m_zone_commands.push_back(std::move(added));
    }
    else
    {
        std::erase_if(m_zone_commands, matches);
    }
    accept({{},
            command.author,
            command.requested_by,
            wall,
            "zone " + name + (out ? " out" : " in")});
    return {};
}

core::command_reply configuration_state::apply(core::set_drain const& command,
                                               core::wall_time wall)
{
    core::backend_id const backend(
        m_names.resolve_or_same(name_kind::instance, command.backend.value()));
    bool const by_rule = std::any_of(m_compiled.leaving.begin(),
                                     m_compiled.leaving.end(),
                                     [&backend](core::leaving_rule const& each)
                                     { return each.backend == backend; });
    if (!command.draining && by_rule)
    {
        return refusal(result_code::rule_conflict,
                       "backend server " + backend.value() +
                           " leaves by a rule; change the rules file first");
    }
    if (m_drains.contains(backend) == command.draining)
    {
        return {};
    }
    if (command.draining)
    {
        m_drains[backend] = {backend, command.author};
    }
    else
    {
        m_drains.erase(backend);
    }
    accept({{},
            command.author,
            command.author.value(),
            wall,
            "drain " + backend.value() + (command.draining ? " on" : " off")});
    return {};
}

core::command_reply
configuration_state::apply(core::apply_document const& command,
                           core::wall_time wall)
{
    auto const& next = command.document;
    if (next.version < m_document.version)
    {
        return refusal(result_code::ok,
                       "version " + std::to_string(m_document.version) +
                           " is in force already");
    }
    if (next.version == m_document.version)
    {
        return next == m_document
                   ? core::command_reply{}
                   : refusal(result_code::document_conflict,
                             "version " + std::to_string(next.version) +
                                 " has another content");
    }
    m_document = next;
    accept({{},
            core::operator_id("document"),
            {},
            wall,
            "document version " + std::to_string(next.version)});
    return {};
}

core::command_reply
configuration_state::apply(core::apply_document_delta const& command,
                           core::wall_time wall)
{
    auto const is_base =
        m_document.version == command.base_version &&
        wire::checksum_of(wire::encode(m_document)) == command.base_checksum;
    auto next =
        is_base ? core::apply_delta(m_document, command.delta) : std::nullopt;
    if (!next || wire::checksum_of(wire::encode(*next)) != command.checksum)
    {
        return refusal(result_code::document_base_mismatch,
                       "version " + std::to_string(m_document.version) +
                           " is in force; the delta is to version " +
                           std::to_string(command.base_version));
    }
    return apply(core::apply_document{std::move(*next)}, wall);
}

core::command_reply
configuration_state::apply(core::evacuate_zone const& command,
                           core::wall_time wall)
{
    bool const is_changed = command.evacuated
                                ? m_evacuated.insert(command.zone).second
                                : m_evacuated.erase(command.zone) > 0;
    if (is_changed)
    {
        accept({{},
                core::operator_id("evacuation"),
                {},
                wall,
                "zone " + command.zone.value() +
                    (command.evacuated ? " evacuated" : " taken back")});
    }
    return {};
}

core::configuration_document const&
configuration_state::document() const noexcept
{
    return m_document;
}

core::queue_rule const*
configuration_state::find_queue(core::queue_id const& name,
                                core::queue_address const& address) const
{
    auto const& all = m_document.queues;
    auto const found = std::find_if(all.begin(),
                                    all.end(),
                                    [&](core::queue_rule const& each)
                                    { return is_for(each, name, address); });
    return found == all.end() ? nullptr : &*found;
}

void configuration_state::accept(core::change_record change)
{
    m_current = core::revision(m_current.value() + 1);
    m_author = change.author;
    change.made = m_current;
    m_history.push_back(std::move(change));
    if (m_history.size() > max_history)
    {
        m_history.pop_front();
    }
    update_derived();
}

void configuration_state::update_derived()
{
    m_in_force = m_compiled;
    m_in_force.document = m_document;
    // Other processes need only the rules of the document, and the source is
    // most of its bytes.
    m_in_force.document.source.clear();
    m_in_force.evacuated.assign(m_evacuated.begin(), m_evacuated.end());
    m_names = naming::name_table::from_entries(m_compiled.names);
    update_derived_zones();
    m_leaving.clear();
    for (auto const& rule : m_compiled.leaving)
    {
        m_leaving.insert(rule.backend.value());
    }
    for (auto const& [backend, drain] : m_drains)
    {
        auto const name =
            m_names.resolve_or_same(name_kind::instance, backend.value());
        if (m_leaving.insert(name).second)
        {
            m_in_force.leaving.push_back({core::backend_id(name)});
        }
    }
    m_never_share.clear();
    for (auto const& rule : m_compiled.colocations)
    {
        if (rule.mode == core::colocation::never_share)
        {
            m_never_share.insert({rule.first, rule.second});
            m_never_share.insert({rule.second, rule.first});
        }
    }
    m_kind_limits.clear();
    for (auto const& rule : m_compiled.kind_limits)
    {
        m_kind_limits[rule.kind] = rule.max_per_worker;
    }
    keep_current();
}

void configuration_state::keep_current()
{
    m_kept[m_current] = std::make_shared<core::configuration const>(m_in_force);
    if (m_kept.size() > max_kept_revisions)
    {
        m_kept.erase(m_kept.begin());
    }
}

std::shared_ptr<core::configuration const>
configuration_state::kept(core::revision made) const
{
    auto const known = m_kept.find(made);
    return known == m_kept.end() ? nullptr : known->second;
}

void configuration_state::update_derived_zones()
{
    std::set<std::string> commanded;
    for (auto const& command : m_zone_commands)
    {
        for (auto const& name : command.names)
        {
            commanded.insert(canonical_zone(core::zone_id(name)));
        }
    }
    m_zones.clear();
    for (auto& zone : m_in_force.zones)
    {
        if (commanded.contains(zone.zone.value()))
        {
            zone.state = core::zone_state::out_of_service;
        }
        m_zones[zone.zone.value()] = zone.state;
    }
}

core::configuration const& configuration_state::in_force() const noexcept
{
    return m_in_force;
}

naming::name_table const& configuration_state::names() const noexcept
{
    return m_names;
}

core::revision configuration_state::current() const noexcept
{
    return m_current;
}

bool configuration_state::is_in_service(core::zone_id const& zone) const
{
    auto const known = m_zones.find(canonical_zone(zone));
    return known != m_zones.end() &&
           known->second == core::zone_state::in_service;
}

bool configuration_state::is_leaving(core::backend_id const& backend) const
{
    return m_leaving.contains(
        m_names.resolve_or_same(name_kind::instance, backend.value()));
}

bool configuration_state::never_share(core::task_kind const& a,
                                      core::task_kind const& b) const
{
    return m_never_share.contains({a, b});
}

std::optional<std::uint32_t>
configuration_state::kind_limit(core::task_kind const& kind) const
{
    auto const known = m_kind_limits.find(kind);
    return known == m_kind_limits.end() ? std::nullopt
                                        : std::optional(known->second);
}

std::string const& configuration_state::text() const noexcept
{
    return m_text;
}

std::deque<core::change_record> const&
configuration_state::history() const noexcept
{
    return m_history;
}

core::configuration_record configuration_state::record() const
{
    core::configuration_record record{
        m_current, m_author, m_text, m_zone_commands, {}, {}, {}, {}};
    for (auto const& [backend, drain] : m_drains)
    {
        record.drains.push_back(drain);
    }
    record.history.assign(m_history.begin(), m_history.end());
    record.document = m_document;
    record.evacuated.assign(m_evacuated.begin(), m_evacuated.end());
    return record;
}

bool configuration_state::restore(core::configuration_record record)
{
    std::vector<rules::rule_error> errors;
    auto config = parse_and_compile(record.text, m_rules, errors);
    if (!config)
    {
        return false;
    }
    m_compiled = std::move(*config);
    m_current = record.current;
    m_author = record.author;
    m_text = std::move(record.text);
    m_zone_commands = std::move(record.zones);
    m_drains.clear();
    for (auto const& drain : record.drains)
    {
        m_drains[drain.backend] = drain;
    }
    m_history.assign(record.history.begin(), record.history.end());
    m_document = std::move(record.document);
    m_evacuated = {record.evacuated.begin(), record.evacuated.end()};
    m_kept.clear();
    update_derived();
    return true;
}

} // namespace turmericswitch::cluster_state
