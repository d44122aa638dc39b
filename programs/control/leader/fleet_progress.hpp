#ifndef TURMERICSWITCH_CONTROL_LEADER_FLEET_PROGRESS_HPP
#define TURMERICSWITCH_CONTROL_LEADER_FLEET_PROGRESS_HPP

#include "core/events/event.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <array>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace turmericswitch::control
{

/// Measures how fast a new leader learns of the workers.
///
/// It has no I/O and reads no clock.
class fleet_progress
{
public:
    /// A share of the expected workers whose time is measured.
    struct measured_share
    {
        unsigned percent = 0;
        /// Event fields keep no copy of their names.
        std::string_view field;
    };

    static constexpr std::array<measured_share, 3> shares{
        {{50, "to_50_ms"}, {90, "to_90_ms"}, {100, "to_100_ms"}}};

    /// @param began When the leadership began.
    /// @param expected Workers that hold runs by the replicated state.
    fleet_progress(core::time_point began, std::set<core::worker_id> expected);

    /// Handles a report of a worker. Only its first one counts.
    void reported(core::time_point now, core::worker_id const& worker);

    /// @param share Percentage of the expected workers.
    /// @return Time from the begin of the leadership until this share had
    /// reported; nothing before, or if no worker is expected.
    std::optional<core::duration> time_to(unsigned share) const;

    /// @return True once after the first seconds of the leadership.
    bool take_due(core::time_point now);

    /// @param usable Workers that may get tasks.
    core::event event(core::term led, std::size_t usable) const;

private:
    std::size_t known_within(core::duration time) const;

    core::time_point m_began;
    std::set<core::worker_id> m_expected;
    std::set<core::worker_id> m_known;
    /// Ascending times of the first reports, of all and of the expected
    /// workers.
    std::vector<core::duration> m_known_after;
    std::vector<core::duration> m_expected_after;
    bool m_is_taken = false;
};

} // namespace turmericswitch::control

#endif
