#ifndef TURMERICSWITCH_PLACEMENT_POLICY_WORKER_SCORER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_WORKER_SCORER_HPP

#include "placement/policy/planner_state.hpp"

#include <limits>
#include <optional>

namespace turmericswitch::placement
{

/// Why a worker with enough free capacity was rejected; `none` if it wasn't.
enum class reject_reason : std::uint8_t
{
    none,
    held,
    kept_for_urgent,
    sharing_rule,
    kind_limit,
    failed_on_worker,
    interference,
};

/// Filters and scores workers for one job.
class worker_scorer
{
public:
    explicit worker_scorer(planner_state& state);

    /// @param soft_constraints Whether to reject workers where the job would
    /// slow down services or on which it failed before.
    /// @return Why the job can't be placed on the worker, or `none`.
    reject_reason check(task_entry const& task,
                        core::resources const& need,
                        std::size_t slot,
                        bool soft_constraints);

    /// @return Cost of the placement, mainly predicted slowdown and poor
    /// spread; lower is better.
    double
    cost(task_entry const& task, core::resources const& need, std::size_t slot);

    /// Must be called for a job before `check` and `cost`; counts the services
    /// of its kind per zone, rack and worker.
    void prepare(task_entry const& task);

private:
    /// All tasks of one kind on a worker; shares are after throttling.
    struct kind_load
    {
        kind_index kind = 0;
        double share = 0;
        unsigned services = 0;
        /// Share of the smallest service, which has the most other load on
        /// its worker.
        double smallest_service = std::numeric_limits<double>::max();
    };

    reject_reason check_rules(task_entry const& task,
                              worker_entry const& worker) const;
    bool takes_urgent_headroom(core::resources const& need,
                               std::size_t slot) const;
    void sum_kinds(std::size_t slot);
    void add(task_entry const& task, worker_entry const& worker);
    double excess_slowdown(kind_index victim, double load) const;
    bool slows_service(task_entry const& task,
                       core::resources const& need,
                       std::size_t slot);
    double
    harm_to_services(task_entry const& task, double share, double load) const;
    double spread_penalty(worker_entry const& worker, std::size_t slot) const;

    planner_state& m_state;
    /// Slot of the worker that `m_kinds` describes; empty for a new job.
    std::optional<std::size_t> m_summed_slot;
    std::vector<kind_load> m_kinds;
    bool m_service_is_slow = false;
    std::map<core::zone_id, double> m_in_zone;
    std::map<core::rack_id, double> m_in_rack;
    std::map<std::size_t, double> m_on_worker;
};

} // namespace turmericswitch::placement

#endif
