#ifndef TURMERICSWITCH_CONTROL_NODE_CATCH_UP_MONITOR_HPP
#define TURMERICSWITCH_CONTROL_NODE_CATCH_UP_MONITOR_HPP

#include "consensus/membership/redundancy.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace turmericswitch::control
{

/// A learner that lacks entries and whose match index doesn't move.
struct stalled_learner
{
    core::member_id member;
    core::log_index match;
    /// Entries that it lacks.
    std::uint64_t lag = 0;
    /// Time since its match index moved.
    core::duration stalled{};
    /// Time since its last answer.
    core::duration answer{};

    bool operator==(stalled_learner const&) const = default;
};

/// Finds learners that make no progress. A leader feeds it with its view at
/// every tick.
class catch_up_monitor
{
public:
    /// @return The learners whose match index hasn't moved for 1 s, each at
    /// most once a second.
    std::vector<stalled_learner> check(consensus::group_view const& view,
                                       core::time_point now);

    /// Forgets all learners, for an instance that doesn't lead.
    void reset() noexcept;

private:
    struct progress
    {
        core::log_index match;
        /// When the match index moved last, or when the learner was complete.
        core::time_point since;
        core::time_point next_report;
    };

    void forget_others(consensus::group_view const& view);

    std::map<core::member_id, progress> m_learners;
};

} // namespace turmericswitch::control

#endif
