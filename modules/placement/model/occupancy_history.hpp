#ifndef TURMERICSWITCH_PLACEMENT_MODEL_OCCUPANCY_HISTORY_HPP
#define TURMERICSWITCH_PLACEMENT_MODEL_OCCUPANCY_HISTORY_HPP

#include "placement/model/interference_model.hpp"

#include <optional>
#include <vector>

namespace turmericswitch::placement
{

/// Which tasks shared one worker at which time.
///
/// Use it to attribute a late measurement to the tasks that were there when
/// it was taken. Bounded by age and by number of entries.
class occupancy_history
{
public:
    void started(core::time_point at, occupant const& task);
    void ended(core::time_point at, core::job_id job);
    /// Replaces the processor share of a present task from `at` on.
    void resized(core::time_point at, core::job_id job, double share);

    /// @return The tasks present at that time, or nothing when it lies
    /// before what is remembered.
    std::optional<std::vector<occupant>> at(core::time_point when) const;

    std::size_t size() const noexcept;

private:
    struct stay
    {
        occupant task;
        core::time_point from;
        core::time_point until;
    };

    void prune(core::time_point now);
    void forget_older_half();

    std::vector<stay> m_stays;
    core::time_point m_known_since{};
};

} // namespace turmericswitch::placement

#endif
