#include "core/config/backend_scope.hpp"

#include <algorithm>
#include <iterator>

namespace turmericswitch::core
{

namespace
{

bool has_name(name_entry const& entry, std::string const& name)
{
    return entry.canonical == name ||
           std::find(entry.aliases.begin(), entry.aliases.end(), name) !=
               entry.aliases.end();
}

std::string const& wanted_name(backend_scope const& scope, name_kind kind)
{
    switch (kind)
    {
    case name_kind::zone:
        return scope.zone.value();
    case name_kind::service:
        return scope.service.value();
    case name_kind::instance:
        break;
    }
    return scope.backend.value();
}

/// Copies the rules on the thing with this name in any scheme.
template <typename Rule, typename NameOf>
void copy_rules(std::vector<Rule> const& from,
                std::vector<Rule>& to,
                configuration const& reduced,
                std::string const& wanted,
                NameOf name_of)
{
    std::copy_if(from.begin(),
                 from.end(),
                 std::back_inserter(to),
                 [&](Rule const& rule)
                 {
                     auto const& name = name_of(rule);
                     return name == wanted ||
                            std::any_of(reduced.names.begin(),
                                        reduced.names.end(),
                                        [&](name_entry const& entry) {
                                            return has_name(entry, wanted) &&
                                                   entry.canonical == name;
                                        });
                 });
}

} // namespace

configuration reduced_to(backend_scope const& scope, configuration const& whole)
{
    configuration reduced;
    std::copy_if(whole.names.begin(),
                 whole.names.end(),
                 std::back_inserter(reduced.names),
                 [&scope](name_entry const& entry)
                 { return has_name(entry, wanted_name(scope, entry.kind)); });
    copy_rules(whole.zones,
               reduced.zones,
               reduced,
               scope.zone.value(),
               [](zone_rule const& rule) { return rule.zone.value(); });
    copy_rules(whole.services,
               reduced.services,
               reduced,
               scope.service.value(),
               [](service_rule const& rule) { return rule.service.value(); });
    copy_rules(whole.leaving,
               reduced.leaving,
               reduced,
               scope.backend.value(),
               [](leaving_rule const& rule) { return rule.backend.value(); });
    return reduced;
}

} // namespace turmericswitch::core
