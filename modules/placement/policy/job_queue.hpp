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

/// Queued jobs by priority class, team and latest start.
///
/// Within a class the caller selects teams by fair share; within a team jobs
/// are ordered by latest start, then by job number. Batch jobs with a deadline
/// are also ordered over all teams, to find those about to miss it.
class job_queue
{
public:
    void add(task_entry const& task);
    void remove(task_entry const& task);

    /// @return Teams with queued jobs of the class, ordered by name.
    std::vector<core::team_id> teams(core::priority_class priority) const;

    /// Returns the next jobs of a team to try: half from the front of the
    /// queue, and half from where the last call ended, so that jobs at the
    /// front that can't be placed don't block those behind them.
    std::vector<core::job_id> next_jobs(core::priority_class priority,
                                        core::team_id const& team,
                                        std::size_t count);

    /// @return At most `count` batch jobs whose latest start is between
    /// `from` and `limit`, earliest first. Jobs before `from` will probably
    /// miss their deadline anyway and must not delay the others.
    std::vector<core::job_id> at_risk(core::time_point from,
                                      core::time_point limit,
                                      std::size_t count) const;

    std::size_t size() const noexcept;

private:
    using sort_key = std::pair<core::time_point, core::job_id>;

    struct team_queue
    {
        std::set<sort_key> jobs;
        sort_key cursor{core::time_point::min(), core::job_id(0)};
    };

    using team_queues = std::map<core::team_id, team_queue>;

    static sort_key sort_key_of(task_entry const& task);
    team_queues& queues_of(core::priority_class priority);

    std::array<team_queues, 3> m_classes;
    std::set<sort_key> m_batch_by_latest_start;
    std::size_t m_size = 0;
};

} // namespace turmericswitch::placement

#endif
