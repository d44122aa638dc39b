#include "naming/table/name_table.hpp"

#include "core/results/last_reason.hpp"

#include <algorithm>
#include <set>

namespace turmericswitch::naming
{

namespace
{

bool refuse(std::string const& name,
            std::string const& other,
            std::uint32_t line,
            std::uint32_t earlier)
{
    return core::fail_bool(core::result_code::name_ambiguous,
                           "name '" + name + "' of line " +
                               std::to_string(line) + " and name '" + other +
                               "' of line " + std::to_string(earlier) +
                               " would be two names of one thing in one "
                               "scheme");
}

} // namespace

std::vector<std::size_t>
name_table::things_named(name_declaration const& line) const
{
    std::set<std::size_t> found;
    for (auto const& [scheme, name] : line.names)
    {
        if (auto const at = m_index.find({line.kind, name});
            at != m_index.end())
        {
            found.insert(at->second);
        }
    }
    return {found.begin(), found.end()};
}

void name_table::append(thing& into, thing const& from)
{
    for (auto const& name : from.names)
    {
        if (std::find(into.names.begin(), into.names.end(), name) ==
            into.names.end())
        {
            into.names.push_back(name);
        }
    }
    for (std::size_t i = 0; i < scheme_count; ++i)
    {
        if (!into.by_scheme[i])
        {
            into.by_scheme[i] = from.by_scheme[i];
        }
    }
}

bool name_table::add(name_declaration const& declaration, std::uint32_t line)
{
    thing added;
    added.kind = declaration.kind;
    for (auto const& [scheme, name] : declaration.names)
    {
        auto& slot = added.by_scheme[static_cast<std::size_t>(scheme)];
        if (slot && slot->name != name)
        {
            return refuse(name, slot->name, line, line);
        }
        slot = place{name, line};
        added.names.push_back(name);
    }
    auto const joined = things_named(declaration);
    auto merged = added.by_scheme;
    for (auto const index : joined)
    {
        for (std::size_t i = 0; i < scheme_count; ++i)
        {
            auto const& other = m_things[index].by_scheme[i];
            if (other && merged[i] && other->name != merged[i]->name)
            {
                return refuse(merged[i]->name, other->name, line, other->line);
            }
            merged[i] = merged[i] ? merged[i] : other;
        }
    }
    std::size_t const target = joined.empty() ? m_things.size() : joined[0];
    if (joined.empty())
    {
        m_things.emplace_back().kind = declaration.kind;
    }
    for (std::size_t i = 1; i < joined.size(); ++i)
    {
        append(m_things[target], m_things[joined[i]]);
        m_things[joined[i]].merged_away = true;
    }
    append(m_things[target], added);
    for (auto const& name : m_things[target].names)
    {
        m_index[{declaration.kind, name}] = target;
    }
    return true;
}

std::optional<std::string> name_table::resolve(core::name_kind kind,
                                               std::string const& name) const
{
    auto const at = m_index.find({kind, name});
    if (at == m_index.end())
    {
        return core::fail(core::result_code::name_unknown,
                          "no rule declares the name '" + name + "'");
    }
    return m_things[at->second].names.front();
}

std::string name_table::resolve_or_same(core::name_kind kind,
                                        std::string const& name) const
{
    auto const at = m_index.find({kind, name});
    return at == m_index.end() ? name : m_things[at->second].names.front();
}

std::vector<core::name_entry> name_table::entries() const
{
    std::vector<core::name_entry> all;
    for (auto const& each : m_things)
    {
        if (!each.merged_away)
        {
            all.push_back({each.kind,
                           each.names.front(),
                           {each.names.begin() + 1, each.names.end()}});
        }
    }
    return all;
}

name_table name_table::from_entries(std::vector<core::name_entry> const& all)
{
    name_table table;
    for (auto const& entry : all)
    {
        auto const index = table.m_things.size();
        auto& added = table.m_things.emplace_back();
        added.kind = entry.kind;
        added.names.push_back(entry.canonical);
        added.names.insert(
            added.names.end(), entry.aliases.begin(), entry.aliases.end());
        for (auto const& name : added.names)
        {
            table.m_index[{entry.kind, name}] = index;
        }
    }
    return table;
}

} // namespace turmericswitch::naming
