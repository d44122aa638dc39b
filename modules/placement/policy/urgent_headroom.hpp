#ifndef TURMERICSWITCH_PLACEMENT_POLICY_URGENT_HEADROOM_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_URGENT_HEADROOM_HPP

#include "placement/state/fleet.hpp"

#include <cstddef>
#include <set>

namespace turmericswitch::placement
{

/// How much room batch has to leave for urgent jobs.
///
/// Without it a full fleet starts an urgent job only after a batch task was
/// evicted for it, which takes a checkpoint. It remembers the largest need
/// and the most starts in one tick, and forgets them over some minutes.
class urgent_headroom
{
public:
    void started(core::resources const& need);

    /// Starts a new tick.
    void age(core::time_point now, fleet const& workers);

    /// @return Room for one urgent job.
    core::resources need() const noexcept;

    /// @return Workers that should have that room free, a third of the open
    /// ones at most (but one).
    std::size_t workers() const noexcept;

    /// @return True if batch must not start there because the worker is one
    /// of those closest to having room and too few have it.
    bool is_kept(std::size_t slot) const;

private:
    void choose(fleet const& workers);

    core::resources m_need;
    core::resources m_earlier_need;
    std::size_t m_this_tick = 0;
    std::size_t m_most = 0;
    std::size_t m_earlier_most = 0;
    std::size_t m_open_workers = 0;
    std::set<std::size_t> m_kept;
    core::time_point m_period_start{};
};

} // namespace turmericswitch::placement

#endif
