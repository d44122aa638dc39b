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
/// Uses the generic cell rate algorithm: the only state is the time at which
/// the bytes taken so far have been sent at the allowed rate, which fits into
/// one atomic.
class region_byte_budget
{
public:
    /// Takes the bytes of one attempt from the budget.
    ///
    /// @return False when the budget is exhausted or `per_second` is zero.
    bool try_take(core::time_point now,
                  core::byte_count size,
                  core::byte_count per_second) noexcept;

    /// Takes bytes that can't be refused, such as those of an answer. They
    /// reduce the budget of later requests.
    void charge(core::time_point now,
                core::byte_count size,
                core::byte_count per_second) noexcept;

    /// Returns bytes that were taken but never sent.
    void refund(core::byte_count size, core::byte_count per_second) noexcept;

    /// @return Total bytes taken, for metrics.
    core::byte_count total() const noexcept;

private:
    std::atomic<std::int64_t> m_free_at{0};
    std::atomic<std::int64_t> m_total{0};
};

} // namespace turmericswitch::routing

#endif
