#ifndef TURMERICSWITCH_CORE_CONFIG_LIST_EDIT_HPP
#define TURMERICSWITCH_CORE_CONFIG_LIST_EDIT_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace turmericswitch::core
{

/// An element at its position in the list that an edit produces.
template <typename T>
struct placed_element
{
    std::uint32_t position = 0;
    T value;

    bool operator==(placed_element const&) const = default;
};

/// Turns one list into another: elements that are not removed keep their order,
/// and the inserted ones come at their positions.
template <typename T>
struct list_edit
{
    /// Positions in the base, ascending.
    std::vector<std::uint32_t> removed;
    /// Ascending by position.
    std::vector<placed_element<T>> inserted;

    bool operator==(list_edit const&) const = default;
};

/// Finds equal elements by their keys, in O(n log n). An edit is always
/// correct; it is short if few elements have changed or moved.
///
/// @param key_of Returns a key by which equal elements are found.
/// @return The edit for which `apply_edit(base, edit)` equals `next`.
template <typename T, typename KeyOf>
list_edit<T>
make_edit(std::vector<T> const& base, std::vector<T> const& next, KeyOf key_of)
{
    using key_type = std::decay_t<decltype(key_of(base.front()))>;
    std::map<key_type, std::vector<std::uint32_t>> positions;
    for (std::uint32_t i = 0; i < base.size(); ++i)
    {
        positions[key_of(base[i])].push_back(i);
    }
    list_edit<T> edit;
    std::uint32_t unused = 0;
    for (std::uint32_t i = 0; i < next.size(); ++i)
    {
        auto const& candidates = positions[key_of(next[i])];
        auto const same =
            std::lower_bound(candidates.begin(), candidates.end(), unused);
        if (same == candidates.end() || !(base[*same] == next[i]))
        {
            edit.inserted.push_back({i, next[i]});
            continue;
        }
        for (; unused < *same; ++unused)
        {
            edit.removed.push_back(unused);
        }
        ++unused;
    }
    for (; unused < base.size(); ++unused)
    {
        edit.removed.push_back(unused);
    }
    return edit;
}

/// @return The edited list, or nothing if the edit does not fit the base.
template <typename T>
std::optional<std::vector<T>> apply_edit(std::vector<T> const& base,
                                         list_edit<T> const& edit)
{
    std::vector<T> result;
    result.reserve(base.size() + edit.inserted.size());
    auto removed = edit.removed.begin();
    auto inserted = edit.inserted.begin();
    auto const insert_due = [&]
    {
        while (inserted != edit.inserted.end() &&
               inserted->position == result.size())
        {
            result.push_back((inserted++)->value);
        }
    };
    for (std::uint32_t i = 0; i < base.size(); ++i)
    {
        if (removed != edit.removed.end() && *removed == i)
        {
            ++removed;
            continue;
        }
        insert_due();
        result.push_back(base[i]);
    }
    insert_due();
    bool const is_used_up =
        removed == edit.removed.end() && inserted == edit.inserted.end();
    return is_used_up ? std::optional(std::move(result)) : std::nullopt;
}

} // namespace turmericswitch::core

#endif
