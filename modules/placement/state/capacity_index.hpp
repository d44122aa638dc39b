#ifndef TURMERICSWITCH_PLACEMENT_STATE_CAPACITY_INDEX_HPP
#define TURMERICSWITCH_PLACEMENT_STATE_CAPACITY_INDEX_HPP

#include "core/types/units.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace turmericswitch::placement
{

/// Finds workers by free capacity without scanning all of them.
///
/// A segment tree whose inner nodes hold the component-wise maximum of the
/// free capacity below. A search skips every subtree whose maximum does not
/// fit the need, so it usually takes logarithmic time.
class capacity_index
{
public:
    /// @param free Free capacity; a negative component excludes the slot from
    /// searches.
    void set(std::size_t slot, core::resources const& free);

    /// @return The first slot at or after `from` that fits the need.
    std::optional<std::size_t> next_fit(std::size_t from,
                                        core::resources const& need) const;

private:
    void grow(std::size_t slots);
    std::optional<std::size_t> search(std::size_t node,
                                      std::size_t low,
                                      std::size_t width,
                                      std::size_t from,
                                      core::resources const& need) const;

    std::size_t m_leaves = 0;
    std::vector<core::resources> m_nodes;
};

} // namespace turmericswitch::placement

#endif
