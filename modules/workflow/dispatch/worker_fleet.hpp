#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_FLEET_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_FLEET_HPP

#include "core/messages/workflow.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace turmericswitch::workflow
{

/// Times of the leases that the leader grants.
struct lease_policy
{
    /// Longest lease that a worker grants; a longer one is shortened to it.
    core::duration longest = std::chrono::seconds(6);
    /// Length that is asked for.
    core::duration length = std::chrono::seconds(6);
};

/// What the leader knows of one life of a worker.
struct worker_view
{
    core::instance_id host;
    core::worker_profile profile;
    core::incarnation sidecar;
    /// When the last report arrived.
    core::time_point reported_at;
    /// The worker's clock in that report.
    core::duration clock{};
    /// When a report brought this reading of the clock first.
    core::time_point clock_changed_at;
    /// End of the lease on the worker's clock.
    core::duration granted_until{};
    /// When the lease has certainly ended, on the leader's clock.
    core::time_point lease_expires_at;
    /// False until the worker has listed its runs.
    bool has_runs = false;
    std::map<core::task_run, core::running_task> running;
    /// Ends that the worker still lists.
    std::vector<core::ended_run> ended;
    std::vector<core::task_run> refused;
    bool left = false;
};

/// The leader's view of the workers, from the reports of their sidecars.
///
/// It is not replicated: a new leader learns it from the next reports, and
/// until a worker reports it assumes the longest possible lease there.
class worker_fleet
{
public:
    worker_fleet(lease_policy policy, core::time_point elected);

    /// Takes a report. One of an earlier life than the known one is ignored.
    ///
    /// @return The worker's view, or null if the report was ignored.
    worker_view* report(core::time_point now, core::runtime_report report);

    /// Extends the lease of a worker from the clock of its last report.
    ///
    /// Call it only when leadership was confirmed after that report came, or
    /// a deposed leader could extend a lease that its successor has waited
    /// out.
    void extend_lease(worker_view& worker) const;

    /// @return The view, or null.
    worker_view* find(core::worker_id const& worker);
    worker_view const* find(core::worker_id const& worker) const;

    std::map<core::worker_id, worker_view> const& all() const noexcept;
    std::map<core::worker_id, worker_view>& all() noexcept;

    /// @return True if nothing placed on this life of the worker can run any
    ///         more.
    bool is_dead(core::time_point now,
                 core::worker_id const& worker,
                 core::incarnation life) const;

    /// Drops workers that left or fell silent and hold nothing.
    void prune(core::time_point now,
               std::function<bool(core::worker_id const&)> const& has_runs);

private:
    core::duration max_length_on_leader_clock(core::duration on_worker) const;

    lease_policy m_policy;
    core::time_point m_elected;
    std::map<core::worker_id, worker_view> m_workers;
};

} // namespace turmericswitch::workflow

#endif
