#ifndef TURMERICSWITCH_PLACEMENT_POLICY_URGENT_HEADROOM_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_URGENT_HEADROOM_HPP

#include "placement/state/fleet.hpp"

#include <cstddef>
#include <set>

namespace turmericswitch::placement
{

/// Free capacity that batch must leave for urgent jobs.
///
/// Without headroom, a full fleet can start an urgent job only after evicting
/// a batch task, which first writes a checkpoint. The headroom is sized by the
/// largest need and the most starts in one tick over the last 20 to 40
/// minutes.
class urgent_headroom
{
public:
    /// Counts the placement of an urgent job.
    void started(core::resources const& need);

    /// Updates the headroom at the start of a tick.
    void begin_tick(core::time_point now, fleet const& workers);

    /// @return Capacity needed for one urgent job.
    core::resources need() const noexcept;

    /// @return Number of workers that should have this capacity free; at most
    /// a third of the workers that accept tasks, but at least one once an
    /// urgent job was seen.
    std::size_t worker_count() const noexcept;

    /// @return True if no batch may be placed on the worker: too few workers
    /// have headroom, and this one is among those that lack least.
    bool is_kept(std::size_t slot) const;

private:
    void choose_kept_slots(fleet const& workers);

    core::resources m_largest_need;
    core::resources m_previous_largest_need;
    std::size_t m_starts_this_tick = 0;
    std::size_t m_peak_starts = 0;
    std::size_t m_previous_peak_starts = 0;
    std::size_t m_schedulable_workers = 0;
    std::set<std::size_t> m_kept_slots;
    core::time_point m_period_start{};
};

} // namespace turmericswitch::placement

#endif
