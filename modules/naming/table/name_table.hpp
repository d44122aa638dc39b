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

/// One line that says that several names are the same thing.
struct name_declaration
{
    core::name_kind kind = core::name_kind::instance;
    std::vector<scheme_name> names;

    bool operator==(name_declaration const&) const = default;
};

/// Resolves names. Use it wherever a name written by an operator enters the
/// system.
///
/// Lines that share a name are joined, whatever scheme the name is written
/// in. A thing has at most one name per scheme, so a join that would give it
/// two is refused: the shared name would mean two things. Kinds are apart: an
/// availability zone and a service may have equal names.
class name_table
{
public:
    /// Adds one declaration.
    ///
    /// @param line Line number of the declaration, for messages.
    /// @return False with `name_ambiguous`, naming both lines, and the table
    /// unchanged. Cost: logarithmic in the number of names.
    bool add(name_declaration const& declaration, std::uint32_t line);

    /// @return The canonical name (the first one added of its thing), or
    /// nothing with `name_unknown`.
    std::optional<std::string> resolve(core::name_kind kind,
                                       std::string const& name) const;

    /// @return The canonical name, or `name` itself if no line declares it.
    std::string resolve_or_same(core::name_kind kind,
                                std::string const& name) const;

    /// @return All things in the order in which they were first added.
    std::vector<core::name_entry> entries() const;

    /// @return The table of a compiled configuration, whose entries hold no
    /// schemes any more.
    static name_table from_entries(std::vector<core::name_entry> const& all);

private:
    struct place
    {
        std::string name;
        std::uint32_t line = 0;
    };

    struct thing
    {
        core::name_kind kind = core::name_kind::instance;
        std::vector<std::string> names;
        std::array<std::optional<place>, scheme_count> by_scheme;
        bool merged_away = false;
    };

    using key = std::pair<core::name_kind, std::string>;

    std::vector<std::size_t> things_named(name_declaration const& line) const;
    void append(thing& into, thing const& from);

    std::vector<thing> m_things;
    std::map<key, std::size_t> m_index;
};

} // namespace turmericswitch::naming

#endif
