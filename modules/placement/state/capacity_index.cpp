#include "placement/state/capacity_index.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

namespace
{

core::resources const hidden{
    core::millicores(-1), core::byte_count(-1), core::accelerator_count(-1)};

} // namespace

void capacity_index::set(std::size_t slot, core::resources const& free)
{
    if (slot >= m_leaves)
    {
        grow(slot + 1);
    }
    std::size_t node = m_leaves + slot;
    m_nodes[node] = free;
    for (node /= 2; node > 0; node /= 2)
    {
        m_nodes[node] =
            core::component_max(m_nodes[2 * node], m_nodes[2 * node + 1]);
    }
}

std::optional<std::size_t>
capacity_index::next_fit(std::size_t from, core::resources const& need) const
{
    return m_leaves == 0 ? std::nullopt : search(1, 0, m_leaves, from, need);
}

void capacity_index::grow(std::size_t slots)
{
    std::size_t const old_leaves = m_leaves;
    auto const old = m_nodes;
    m_leaves = std::max<std::size_t>(16, m_leaves);
    while (m_leaves < slots)
    {
        m_leaves *= 2;
    }
    m_nodes.assign(2 * m_leaves, hidden);
    for (std::size_t slot = 0; slot < old_leaves; ++slot)
    {
        m_nodes[m_leaves + slot] = old[old_leaves + slot];
    }
    for (std::size_t node = m_leaves - 1; node > 0; --node)
    {
        m_nodes[node] =
            core::component_max(m_nodes[2 * node], m_nodes[2 * node + 1]);
    }
}

std::optional<std::size_t>
capacity_index::search(std::size_t node,
                       std::size_t low,
                       std::size_t width,
                       std::size_t from,
                       core::resources const& need) const
{
    if (low + width <= from || !core::fits_in(need, m_nodes[node]))
    {
        return std::nullopt;
    }
    if (width == 1)
    {
        return low;
    }
    std::size_t const half = width / 2;
    if (auto const left = search(2 * node, low, half, from, need))
    {
        return left;
    }
    return search(2 * node + 1, low + half, half, from, need);
}

} // namespace turmericswitch::placement
