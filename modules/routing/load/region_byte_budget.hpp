#ifndef TURMERICSWITCH_ROUTING_LOAD_REGION_BYTE_BUDGET_HPP
#define TURMERICSWITCH_ROUTING_LOAD_REGION_BYTE_BUDGET_HPP

#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Bytes of one service that this gateway may send over the region link.
/// Shared by all threads.
///
/// It keeps the time at which the link is free again at the allowed rate
/// (generic cell rate algorithm), which fits one atomic.
class region_byte_budget
{
public:
    /// @return False when the budget is used up for now.
    bool try_take(core::time_point now,
                  core::byte_count size,
                  core::byte_count per_second) noexcept;

    /// Counts bytes that can't be refused, such as those of an answer. Later
    /// requests pay for them.
    void charge(core::time_point now,
                core::byte_count size,
                core::byte_count per_second) noexcept;

    /// Gives back bytes that were never sent.
    void refund(core::byte_count size, core::byte_count per_second) noexcept;

    /// @return Bytes counted since the start, for metrics.
    core::byte_count total() const noexcept;

private:
    std::atomic<std::int64_t> m_free_at{0};
    std::atomic<std::int64_t> m_total{0};
};

} // namespace turmericswitch::routing

#endif
