#ifndef TURMERICSWITCH_NAMING_TABLE_NAME_TABLE_HPP
#define TURMERICSWITCH_NAMING_TABLE_NAME_TABLE_HPP

#include "core/config/configuration.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericswitch::naming
{

/// The operators' naming schemes.
enum class name_scheme : std::uint8_t
{
    /// Short form typed by operators, for example `az-a`.
    short_name,
    /// Form used in DNS, for example `a.north.example`.
    dns,
    /// Number in the asset register, for example `AZ-0001`.
    asset,
};

constexpr std::size_t scheme_count = 3;

struct scheme_name
{
    name_scheme scheme = name_scheme::short_name;
    std::string name;

    bool operator==(scheme_name const&) const = default;
};

/// One line that declares several names of the same object.
struct name_declaration
{
    core::name_kind kind = core::name_kind::instance;
    std::vector<scheme_name> names;

    bool operator==(name_declaration const&) const = default;
};

/// Resolves the names of instances, availability zones and services. Use it
/// wherever a name written by an operator enters the system.
///
/// Declarations that share a name are merged into one object, whatever the
/// scheme of that name. An object has at most one name per scheme, so a merge
/// that would give it two is refused: the shared name would be ambiguous. Each
/// kind has its own namespace: an availability zone and a service may have
/// equal names.
class name_table
{
public:
    /// Adds one declaration.
    ///
    /// Takes logarithmic time in the number of names.
    ///
    /// @param line Line number of the declaration, for messages.
    /// @return False with `name_ambiguous` and a message with both lines if the
    /// declaration is refused; the table is then unchanged.
    bool add(name_declaration const& declaration, std::uint32_t line);

    /// @return The canonical name, which is the object's first added name, or
    /// nothing with `name_unknown`.
    std::optional<std::string> resolve(core::name_kind kind,
                                       std::string const& name) const;

    /// @return The canonical name, or `name` itself if it isn't declared.
    std::string resolve_or_same(core::name_kind kind,
                                std::string const& name) const;

    /// @return All objects in the order of their first declaration.
    std::vector<core::name_entry> entries() const;

    /// @param all Entries of a compiled configuration, which no longer have
    /// schemes.
    /// @return The table of these entries.
    static name_table from_entries(std::vector<core::name_entry> const& all);

private:
    struct declared_name
    {
        std::string name;
        std::uint32_t line = 0;
    };

    struct named_object
    {
        core::name_kind kind = core::name_kind::instance;
        std::vector<std::string> names;
        std::array<std::optional<declared_name>, scheme_count> by_scheme;
        bool is_merged = false;
    };

    using key = std::pair<core::name_kind, std::string>;

    std::vector<std::size_t>
    find_objects(name_declaration const& declaration) const;
    void merge_into(named_object& into, named_object const& from);

    std::vector<named_object> m_objects;
    std::map<key, std::size_t> m_index;
};

} // namespace turmericswitch::naming

#endif
