#ifndef TURMERICSWITCH_PLACEMENT_POLICY_PLACEMENT_PASS_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_PLACEMENT_PASS_HPP

#include "placement/policy/capacity_reclaimer.hpp"
#include "placement/policy/worker_scorer.hpp"

namespace turmericswitch::placement
{

/// Places queued jobs in one tick: urgent first, then services, then batch
/// about to miss its deadline, then batch by fair share.
class placement_pass
{
public:
    placement_pass(planner_state& state,
                   core::time_point now,
                   tick_decisions& decisions);

    void run();

private:
    /// A search that found no worker; similar jobs in this tick are not
    /// searched for again.
    struct failed_search
    {
        kind_index kind;
        bool soft_constraints;
        bool urgent;
        core::resources need;
    };

    /// A team and its dominant share, lowest share first.
    using team_order = std::set<std::pair<double, core::team_id>>;

    void place_class(core::priority_class priority);
    void place_at_risk();
    bool place_next_job(core::priority_class priority,
                        core::team_id const& team);
    bool place(task_entry& task);
    bool within_quota(task_entry const& task,
                      core::resources const& charge) const;
    bool is_known_to_fail(failed_search const& wanted) const;
    /// @return False if the job has waited too long or is about to miss its
    /// deadline, so that only capacity and rules restrict its placement.
    bool uses_soft_constraints(task_entry const& task) const;

    std::vector<candidate> find_candidates(task_entry const& task,
                                           core::resources const& need);
    void collect(task_entry const& task,
                 core::resources const& need,
                 std::size_t from,
                 std::size_t until,
                 std::vector<candidate>& found);
    void assign(task_entry& task,
                core::resources const& need,
                std::vector<candidate>& found);
    void record(task_entry const& task,
                std::vector<candidate> const& found,
                std::size_t chosen);
    void wait(task_entry& task, char const* reason);

    core::duration hold_wait(task_entry const& task,
                             core::resources const& need) const;
    void on_blocked(task_entry& task, core::resources const& need);
    double dominant_share(core::team_id const& team) const;

    planner_state& m_state;
    core::time_point m_now;
    tick_decisions& m_decisions;
    worker_scorer m_scorer;
    capacity_reclaimer m_reclaimer;
    std::vector<failed_search> m_failed_searches;
    reject_reason m_last_reject_reason = reject_reason::none;
    std::size_t m_starts = 0;
};

/// @return What a job reserves: the learned size, limited to the capacity of
/// the largest worker that fits the declaration.
core::resources reservation_of(planner_state const& state,
                               task_entry const& task);

} // namespace turmericswitch::placement

#endif
