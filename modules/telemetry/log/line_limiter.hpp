#ifndef TURMERICSWITCH_TELEMETRY_LOG_LINE_LIMITER_HPP
#define TURMERICSWITCH_TELEMETRY_LOG_LINE_LIMITER_HPP

#include "core/events/event_code.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>
#include <vector>

namespace turmericswitch::telemetry
{

/// Lines that were not written.
struct dropped_lines
{
    /// Name of the event, "text" for lines without one, or "buffer" for lines
    /// that found their buffer full.
    std::string_view what;
    std::uint64_t count = 0;
};

/// Bounds the log's volume: each event, and all lines without one together,
/// may write a number of lines a second. The rest is counted.
///
/// Any thread may use it; it takes no lock.
class line_limiter
{
public:
    /// @param most_per_second 0 for no limit.
    void set_limit(std::uint32_t most_per_second) noexcept;

    /// @return True if a line of the event may be written in this second.
    bool allow(core::event_code code, std::uint32_t second) noexcept;
    bool allow_text(std::uint32_t second) noexcept;

    /// Counts a line that was allowed and found no room.
    void dropped_by_buffer() noexcept;

    /// @return True for the first caller in a second.
    bool is_new_second(std::uint32_t second) noexcept;

    /// @return What was dropped since the last call.
    std::vector<dropped_lines> take_dropped();

private:
    struct slot
    {
        /// The second in the upper half, the lines written in it in the lower.
        std::atomic<std::uint64_t> used = 0;
        std::atomic<std::uint64_t> dropped = 0;
    };

    static constexpr std::size_t text_slot = core::all_events.size();
    static constexpr std::size_t buffer_slot = text_slot + 1;
    static constexpr std::size_t slot_count = buffer_slot + 1;

    bool allow_slot(std::size_t index, std::uint32_t second) noexcept;
    static std::string_view name_of_slot(std::size_t index) noexcept;

    std::atomic<std::uint32_t> m_limit = 0;
    std::atomic<std::uint32_t> m_second = 0;
    std::array<slot, slot_count> m_slots;
};

} // namespace turmericswitch::telemetry

#endif
