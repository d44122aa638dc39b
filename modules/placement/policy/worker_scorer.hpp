#ifndef TURMERICSWITCH_PLACEMENT_POLICY_WORKER_SCORER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_WORKER_SCORER_HPP

#include "placement/policy/planner_state.hpp"

namespace turmericswitch::placement
{

/// Why a worker that has the capacity was passed over; `none` means it fits.
enum class obstacle : std::uint8_t
{
    none,
    held,
    kept_for_urgent,
    sharing_rule,
    kind_limit,
    failed_there,
    interference,
};

/// Filters and scores workers for one job.
class worker_scorer
{
public:
    explicit worker_scorer(planner_state& state);

    /// @param patient False once the job may ignore the interference gate and
    /// workers on which it failed.
    obstacle check(core::time_point now,
                   task_entry const& task,
                   core::resources const& need,
                   std::size_t slot,
                   bool patient);

    /// @return Predicted harm of the placement; lower is better.
    double cost(core::time_point now,
                task_entry const& task,
                core::resources const& need,
                std::size_t slot);

    /// Counts where the services of this kind run, for the spread.
    void prepare(task_entry const& task);

    /// @return What the response ladder and the gate see: neighbours of a
    /// task with their processor shares, throttling included.
    static std::vector<occupant> neighbours(worker_entry const& worker,
                                            core::job_id except);

private:
    obstacle check_rules(task_entry const& task,
                         worker_entry const& worker) const;
    bool takes_urgent_room(core::resources const& need, std::size_t slot) const;
    bool disturbs_service(core::time_point now,
                          task_entry const& task,
                          core::resources const& need,
                          worker_entry const& worker) const;
    double harm_to_services(task_entry const& task,
                            double share,
                            double load,
                            worker_entry const& worker) const;
    double spread_penalty(worker_entry const& worker, std::size_t slot) const;

    planner_state& m_state;
    std::map<core::zone_id, double> m_in_zone;
    std::map<core::rack_id, double> m_in_rack;
    std::map<std::size_t, double> m_on_worker;
};

} // namespace turmericswitch::placement

#endif
