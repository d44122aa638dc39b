#ifndef TURMERICSWITCH_PLACEMENT_POLICY_WORKER_SCORER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_WORKER_SCORER_HPP

#include "placement/policy/planner_state.hpp"

#include <limits>
#include <optional>

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
    obstacle check(task_entry const& task,
                   core::resources const& need,
                   std::size_t slot,
                   bool patient);

    /// @return Predicted harm of the placement; lower is better.
    double
    cost(task_entry const& task, core::resources const& need, std::size_t slot);

    /// Has to come before `check` and `cost` for a job: counts where the
    /// services of this kind run, for the spread.
    void prepare(task_entry const& task);

private:
    /// All tasks of one kind on a worker; processor shares with throttling.
    struct kind_sum
    {
        kind_index kind = 0;
        double share = 0;
        unsigned services = 0;
        /// Of the smallest service, which has most other load beside it.
        double least_service = std::numeric_limits<double>::max();
    };

    obstacle check_rules(task_entry const& task,
                         worker_entry const& worker) const;
    bool takes_urgent_room(core::resources const& need, std::size_t slot) const;
    void sum_kinds(std::size_t slot);
    void add(task_entry const& task, worker_entry const& worker);
    double excess(kind_index victim, double load) const;
    bool disturbs_service(task_entry const& task,
                          core::resources const& need,
                          std::size_t slot);
    double
    harm_to_services(task_entry const& task, double share, double load) const;
    double spread_penalty(worker_entry const& worker, std::size_t slot) const;

    planner_state& m_state;
    /// The worker that `m_kinds` describes; nothing for a new job.
    std::optional<std::size_t> m_summed;
    std::vector<kind_sum> m_kinds;
    bool m_service_is_slow = false;
    std::map<core::zone_id, double> m_in_zone;
    std::map<core::rack_id, double> m_in_rack;
    std::map<std::size_t, double> m_on_worker;
};

} // namespace turmericswitch::placement

#endif
