#ifndef TURMERICSWITCH_PLACEMENT_POLICY_URGENT_ROOM_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_URGENT_ROOM_HPP

#include "core/types/units.hpp"

#include <cstddef>

namespace turmericswitch::placement
{

/// How much room batch has to leave for urgent jobs.
///
/// Without it a full fleet starts an urgent job only after a batch task was
/// evicted for it, which takes a checkpoint. It remembers the largest need
/// and the most starts in one tick, and forgets them over some minutes.
class urgent_room
{
public:
    void started(core::resources const& need);

    /// Starts a new tick.
    /// @param open_workers Workers that take starts, of which a third at most
    /// (but one) keeps room.
    void age(core::time_point now, std::size_t open_workers);

    /// @return Room for one urgent job.
    core::resources need() const noexcept;

    /// @return Workers that should have that room free.
    std::size_t workers() const noexcept;

private:
    core::resources m_need;
    core::resources m_earlier_need;
    std::size_t m_this_tick = 0;
    std::size_t m_most = 0;
    std::size_t m_earlier_most = 0;
    std::size_t m_open_workers = 0;
    core::time_point m_period_start{};
};

} // namespace turmericswitch::placement

#endif
