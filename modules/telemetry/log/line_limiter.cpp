#include "telemetry/log/line_limiter.hpp"

#include <algorithm>

namespace turmericswitch::telemetry
{

namespace
{

constexpr unsigned second_shift = 32;

std::size_t index_of(core::event_code code) noexcept
{
    auto const found = std::lower_bound(
        core::all_events.begin(),
        core::all_events.end(),
        code,
        [](core::event_entry const& entry, core::event_code wanted)
        { return entry.code < wanted; });
    return static_cast<std::size_t>(found - core::all_events.begin());
}

} // namespace

void line_limiter::set_limit(std::uint32_t most_per_second) noexcept
{
    m_limit = most_per_second;
}

bool line_limiter::allow(core::event_code code, std::uint32_t second) noexcept
{
    // What was dropped is said even while everything else is.
    return code == core::event_code::lines_dropped ||
           allow_slot(index_of(code), second);
}

bool line_limiter::allow_text(std::uint32_t second) noexcept
{
    return allow_slot(text_slot, second);
}

bool line_limiter::allow_slot(std::size_t index, std::uint32_t second) noexcept
{
    auto const limit = m_limit.load(std::memory_order_relaxed);
    if (limit == 0)
    {
        return true;
    }
    auto& [used, dropped] = m_slots[index];
    auto seen = used.load(std::memory_order_relaxed);
    for (;;)
    {
        bool const is_same = seen >> second_shift == second;
        auto const count = is_same ? static_cast<std::uint32_t>(seen) : 0U;
        if (count >= limit)
        {
            dropped.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        auto const next = (std::uint64_t{second} << second_shift) | (count + 1);
        if (used.compare_exchange_weak(seen, next, std::memory_order_relaxed))
        {
            return true;
        }
    }
}

void line_limiter::dropped_by_buffer() noexcept
{
    m_slots[buffer_slot].dropped.fetch_add(1, std::memory_order_relaxed);
}

bool line_limiter::is_new_second(std::uint32_t second) noexcept
{
    return m_second.exchange(second, std::memory_order_relaxed) != second;
}

std::vector<dropped_lines> line_limiter::take_dropped()
{
    std::vector<dropped_lines> all;
    for (std::size_t index = 0; index < m_slots.size(); ++index)
    {
        if (auto const count = m_slots[index].dropped.exchange(0); count > 0)
        {
            all.push_back({name_of_slot(index), count});
        }
    }
    return all;
}

std::string_view line_limiter::name_of_slot(std::size_t index) noexcept
{
    if (index < text_slot)
    {
        return core::all_events[index].name;
    }
    return index == text_slot ? "text" : "buffer";
}

} // namespace turmericswitch::telemetry
