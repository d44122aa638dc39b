#include "naming/table/name_table.hpp"

#include "core/results/last_reason.hpp"

#include <algorithm>
#include <set>

namespace turmericswitch::naming
{

namespace
{

bool fail_ambiguous(std::string const& name,
                    std::string const& other,
                    std::uint32_t line,
                    std::uint32_t other_line)
{
    return core::fail_bool(core::result_code::name_ambiguous,
                           "name '" + name + "' of line " +
                               std::to_string(line) + " and name '" + other +
                               "' of line " + std::to_string(other_line) +
                               " would be names of the same object in "
                               "the same scheme");
}

} // namespace

std::vector<std::size_t>
name_table::find_objects(name_declaration const& declaration) const
{
    std::set<std::size_t> found;
    for (auto const& [scheme, name] : declaration.names)
    {
        if (auto const at = m_index.find({declaration.kind, name});
            at != m_index.end())
        {
            found.insert(at->second);
        }
    }
    return {found.begin(), found.end()};
}

void name_table::merge_into(named_object& into, named_object const& from)
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
    named_object added;
    added.kind = declaration.kind;
    for (auto const& [scheme, name] : declaration.names)
    {
        auto& slot = added.by_scheme[static_cast<std::size_t>(scheme)];
        if (slot && slot->name != name)
        {
            return fail_ambiguous(name, slot->name, line, line);
        }
        slot = declared_name{name, line};
        added.names.push_back(name);
    }
    auto const shared = find_objects(declaration);
    auto merged = added.by_scheme;
    for (auto const index : shared)
    {
        for (std::size_t i = 0; i < scheme_count; ++i)
        {
            auto const& other = m_objects[index].by_scheme[i];
            if (other && merged[i] && other->name != merged[i]->name)
            {
                return fail_ambiguous(
                    merged[i]->name, other->name, line, other->line);
            }
            merged[i] = merged[i] ? merged[i] : other;
        }
    }
    std::size_t const target = shared.empty() ? m_objects.size() : shared[0];
    if (shared.empty())
    {
        m_objects.emplace_back().kind = declaration.kind;
    }
    for (std::size_t i = 1; i < shared.size(); ++i)
    {
        merge_into(m_objects[target], m_objects[shared[i]]);
        m_objects[shared[i]].is_merged = true;
    }
    merge_into(m_objects[target], added);
    for (auto const& name : m_objects[target].names)
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
    return m_objects[at->second].names.front();
}

std::string name_table::resolve_or_same(core::name_kind kind,
                                        std::string const& name) const
{
    auto const at = m_index.find({kind, name});
    return at == m_index.end() ? name : m_objects[at->second].names.front();
}

std::vector<core::name_entry> name_table::entries() const
{
    std::vector<core::name_entry> all;
    for (auto const& object : m_objects)
    {
        if (!object.is_merged)
        {
            all.push_back({object.kind,
                           object.names.front(),
                           {object.names.begin() + 1, object.names.end()}});
        }
    }
    return all;
}

name_table name_table::from_entries(std::vector<core::name_entry> const& all)
{
    name_table table;
    for (auto const& entry : all)
    {
        auto const index = table.m_objects.size();
        auto& added = table.m_objects.emplace_back();
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
