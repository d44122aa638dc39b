#include "rules/compile/rule_diff.hpp"

#include "rules/compile/compiler.hpp"
#include "rules/text/printer.hpp"

#include <map>

namespace turmericswitch::rules
{

namespace
{

std::map<std::string, rule> by_subject(rule_set const& rules)
{
    auto const names = build_name_table(rules);
    std::map<std::string, rule> result;
    for (auto const& each : rules.lines)
    {
        if (each.content)
        {
            rule found = *each.content;
            found.body = canonical(found.body, names);
            result.emplace(subject_of(found.body), std::move(found));
        }
    }
    return result;
}

std::string describe(rule const& each)
{
    return print(each.body) + " (asked by " + each.requester + ")";
}

} // namespace

std::vector<rule_change> diff(rule_set const& a, rule_set const& b)
{
    auto const before = by_subject(a);
    auto after = by_subject(b);
    std::map<std::string, rule_change> changes;
    for (auto const& [subject, old_rule] : before)
    {
        auto const match = after.find(subject);
        if (match == after.end())
        {
            changes[subject] = {change_kind::removed, old_rule, std::nullopt};
            continue;
        }
        if (match->second != old_rule)
        {
            changes[subject] = {change_kind::changed, old_rule, match->second};
        }
        after.erase(match);
    }
    for (auto const& [subject, new_rule] : after)
    {
        changes[subject] = {change_kind::added, std::nullopt, new_rule};
    }
    std::vector<rule_change> result;
    result.reserve(changes.size());
    for (auto& [subject, change] : changes)
    {
        result.push_back(std::move(change));
    }
    return result;
}

std::string to_string(rule_change const& change)
{
    switch (change.kind)
    {
    case change_kind::added:
        return "+ " + describe(*change.after);
    case change_kind::removed:
        return "- " + describe(*change.before);
    case change_kind::changed:
        return "~ " + describe(*change.before) + " -> " +
               describe(*change.after);
    }
    return {};
}

} // namespace turmericswitch::rules
