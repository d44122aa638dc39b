#ifndef TURMERICSWITCH_PLACEMENT_TESTS_PLACEMENT_ORACLE_HPP
#define TURMERICSWITCH_PLACEMENT_TESTS_PLACEMENT_ORACLE_HPP

#include "placement/placement.hpp"

#include <map>
#include <set>
#include <string>

namespace turmericswitch::placement::testing
{

/// Test oracle: keeps its own reservations and checks every decision against
/// the rules.
///
/// @throws std::logic_error Each check names the violated rule.
class placement_oracle
{
public:
    struct worker
    {
        core::worker_description description;
        bool schedulable = true;
    };

    struct task
    {
        core::worker_id worker;
        core::attempt_number attempt;
        core::resources reserved;
        core::resources charged;
        bool evicting = false;
    };

    void check(tick_decisions const& decisions);

    std::map<core::worker_id, worker> workers;
    std::set<core::zone_id> zones_out;
    core::configuration config;
    std::map<core::job_id, queued_job> waiting;
    std::map<core::job_id, queued_job> jobs;
    std::map<core::job_id, task> active;

    /// @return Resources that committed placements reserve on a worker.
    core::resources reserved_on(core::worker_id const& name) const;

private:
    void check_place(core::place_task const& command);
    void check_rules(queued_job const& job, core::worker_id const& name) const;
    core::resources charge(queued_job const& job,
                           core::resources const& reserved) const;
    void check_evict(core::evict_task const& command);
    void check_stop(core::stop_job const& command);
    void check_throttle(throttle_decision const& decision) const;
};

} // namespace turmericswitch::placement::testing

#endif
