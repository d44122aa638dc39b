#ifndef TURMERICSWITCH_PLACEMENT_POLICY_JOB_QUEUE_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_JOB_QUEUE_HPP

#include "placement/state/task_entry.hpp"

#include <array>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace turmericswitch::placement
{

/// Queued jobs by priority class, team and urgency.
///
/// Within a class the caller walks teams by fair share; within a team jobs
/// come by latest start, then by age. Batch with a deadline is also in one
/// order over all teams, so that jobs about to miss it come first.
class job_queue
{
public:
    void add(task_entry const& task);
    void remove(task_entry const& task);

    /// @return Teams with queued jobs of the class, in order of name.
    std::vector<core::team_id> teams(core::priority_class priority) const;

    /// The next jobs of a team to look at: half from the front, and half from
    /// where the last call ended, so that jobs that can't be placed at the
    /// front don't hide those behind them for ever.
    std::vector<core::job_id> next_jobs(core::priority_class priority,
                                        core::team_id const& team,
                                        std::size_t count);

    /// @return Batch jobs, at most `count`, whose latest start lies between
    /// the two times, most urgent first. Those before `from` have missed
    /// their deadline in all likelihood and must not delay the others.
    std::vector<core::job_id> at_risk(core::time_point from,
                                      core::time_point limit,
                                      std::size_t count) const;

    std::size_t size() const noexcept;

private:
    using position = std::pair<core::time_point, core::job_id>;

    struct lane
    {
        std::set<position> jobs;
        position cursor{core::time_point::min(), core::job_id(0)};
    };

    using lanes = std::map<core::team_id, lane>;

    static position position_of(task_entry const& task);
    lanes& lanes_of(core::priority_class priority);

    std::array<lanes, 3> m_classes;
    std::set<position> m_deadlines;
    std::size_t m_size = 0;
};

} // namespace turmericswitch::placement

#endif
