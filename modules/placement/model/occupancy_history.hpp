#ifndef TURMERICSWITCH_PLACEMENT_MODEL_OCCUPANCY_HISTORY_HPP
#define TURMERICSWITCH_PLACEMENT_MODEL_OCCUPANCY_HISTORY_HPP

#include "placement/model/interference_model.hpp"

#include <optional>
#include <vector>

namespace turmericswitch::placement
{

/// Records which tasks ran on one worker at which time.
///
/// Used to attribute a late measurement to the tasks that were running when
/// it was taken. Bounded by age and by number of entries.
class occupancy_history
{
public:
    void started(core::time_point at, occupant const& task);
    void ended(core::time_point at, core::job_id job);
    /// Changes the processor share of a running task from `at` on.
    void resized(core::time_point at, core::job_id job, double share);

    /// @return The tasks that ran at that time, or nothing if the history
    /// doesn't reach back to it.
    std::optional<std::vector<occupant>> at(core::time_point when) const;

    std::size_t size() const noexcept;

private:
    struct occupancy
    {
        occupant task;
        core::time_point from;
        core::time_point until;
    };

    void prune(core::time_point now);
    void drop_older_half();

    std::vector<occupancy> m_occupancies;
    core::time_point m_complete_since{};
};

} // namespace turmericswitch::placement

#endif
