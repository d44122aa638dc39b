#include "rules/compile/compiler.hpp"

#include "core/results/last_reason.hpp"
#include "rules/text/parser.hpp"
#include "rules/text/printer.hpp"

#include <algorithm>
#include <map>

namespace turmericswitch::rules
{

namespace
{

using core::name_kind;
using core::result_code;

class compiler
{
public:
    compiler(std::string file, std::vector<rule_error>& errors)
        : m_file(std::move(file)), m_errors(errors)
    {
    }

    std::optional<core::configuration> run(rule_set const& rules)
    {
        for_each_rule(rules, [this](auto const& body) { add_name(body); });
        for_each_rule(rules, [this](auto const& body) { add_rule(body); });
        for_each_rule(rules, [this](auto const& body) { check_names(body); });
        if (!m_errors.empty())
        {
            return core::fail(m_errors.front().code,
                              to_string(m_errors.front()));
        }
        m_result.names = m_names.entries();
        return std::move(m_result);
    }

private:
    struct earlier_rule
    {
        std::uint32_t line;
        rule_body body;
    };

    template <typename Visit>
    void for_each_rule(rule_set const& rules, Visit const& visit)
    {
        m_line = 0;
        for (auto const& each : rules.lines)
        {
            ++m_line;
            if (each.content)
            {
                visit(each.content->body);
            }
        }
    }

    void add_error(result_code code, std::string expected)
    {
        if (m_errors.size() < max_errors)
        {
            m_errors.push_back({m_file, m_line, 1, code, std::move(expected)});
        }
    }

    void add_name(rule_body const& body)
    {
        auto const* const names = std::get_if<naming::name_declaration>(&body);
        if (names != nullptr && !m_names.add(*names, m_line))
        {
            add_error(result_code::name_ambiguous,
                      "one thing per name; " + core::last_reason().text);
        }
    }

    void add_rule(rule_body const& written)
    {
        if (std::holds_alternative<naming::name_declaration>(written))
        {
            return;
        }
        auto const body = canonical(written, m_names);
        auto const [earlier, is_new] =
            m_seen.emplace(subject_of(body), earlier_rule{m_line, body});
        if (is_new)
        {
            std::visit([this](auto const& each) { store(each); }, body);
            return;
        }
        bool const same = earlier->second.body == body;
        add_error(same ? result_code::rule_duplicate
                       : result_code::rule_conflict,
                  "one rule on " + subject_of(body) + "; line " +
                      std::to_string(earlier->second.line) + " and line " +
                      std::to_string(m_line) +
                      (same ? " say the same" : " contradict each other"));
    }

    void check_names(rule_body const& written)
    {
        auto const* const route = std::get_if<core::route_rule>(&written);
        if (route == nullptr)
        {
            return;
        }
        auto const service =
            m_names.resolve_or_same(name_kind::service, route->service.value());
        if (!m_seen.contains("service " + service))
        {
            add_error(result_code::name_unknown,
                      "a service declared by a service rule, not '" +
                          route->service.value() + "'");
        }
    }

    void store(naming::name_declaration const&) {}
    void store(core::zone_rule const& rule)
    {
        m_result.zones.push_back(rule);
    }
    void store(core::service_rule const& rule)
    {
        m_result.services.push_back(rule);
    }
    void store(core::route_rule const& rule)
    {
        m_result.routes.push_back(rule);
    }
    void store(core::colocation_rule const& rule)
    {
        m_result.colocations.push_back(rule);
    }
    void store(core::kind_limit_rule const& rule)
    {
        m_result.kind_limits.push_back(rule);
    }
    void store(core::priority_rule const& rule)
    {
        m_result.priorities.push_back(rule);
    }
    void store(core::quota_rule const& rule)
    {
        m_result.quotas.push_back(rule);
    }
    void store(core::leaving_rule const& rule)
    {
        m_result.leaving.push_back(rule);
    }

    std::string m_file;
    std::vector<rule_error>& m_errors;
    std::uint32_t m_line = 0;
    naming::name_table m_names;
    std::map<std::string, earlier_rule> m_seen;
    core::configuration m_result;
};

} // namespace

naming::name_table build_name_table(rule_set const& rules)
{
    naming::name_table names;
    std::uint32_t line = 0;
    for (auto const& each : rules.lines)
    {
        ++line;
        if (each.content)
        {
            auto const* const declared =
                std::get_if<naming::name_declaration>(&each.content->body);
            if (declared != nullptr)
            {
                names.add(*declared, line);
            }
        }
    }
    return names;
}

rule_body canonical(rule_body const& body, naming::name_table const& names)
{
    rule_body result = body;
    auto const resolve = [&names](name_kind kind, auto& id)
    {
        using id_type = std::remove_reference_t<decltype(id)>;
        id = id_type(names.resolve_or_same(kind, id.value()));
    };
    if (auto* const zone = std::get_if<core::zone_rule>(&result))
    {
        resolve(name_kind::zone, zone->zone);
    }
    else if (auto* const service = std::get_if<core::service_rule>(&result))
    {
        resolve(name_kind::service, service->service);
    }
    else if (auto* const route = std::get_if<core::route_rule>(&result))
    {
        resolve(name_kind::service, route->service);
        std::sort(route->idempotent_methods.begin(),
                  route->idempotent_methods.end());
    }
    else if (auto* const pair = std::get_if<core::colocation_rule>(&result))
    {
        if (pair->second < pair->first)
        {
            std::swap(pair->first, pair->second);
        }
    }
    else if (auto* const leaving = std::get_if<core::leaving_rule>(&result))
    {
        resolve(name_kind::instance, leaving->backend);
    }
    return result;
}

std::string subject_of(rule_body const& body)
{
    if (std::holds_alternative<naming::name_declaration>(body))
    {
        return print(body);
    }
    if (auto const* const pair = std::get_if<core::colocation_rule>(&body))
    {
        return "share " + pair->first.value() + " " + pair->second.value();
    }
    auto const text = print(body);
    auto const first_space = text.find(' ');
    return text.substr(0, text.find(' ', first_space + 1));
}

std::optional<core::configuration> compile(rule_set const& rules,
                                           std::string const& file,
                                           std::vector<rule_error>& errors)
{
    errors.clear();
    return compiler(file, errors).run(rules);
}

} // namespace turmericswitch::rules
