#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_FLEET_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_FLEET_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/crash_evidence.hpp"
#include "workflow/table/establishment.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// Lengths of the leases that the leader grants.
struct lease_policy
{
    /// Longest lease that a worker accepts; longer ones are shortened to it.
    /// Leaders that recorded no length may have granted it.
    core::duration longest = std::chrono::seconds(6);
    /// Length that the leader requests.
    core::duration length = std::chrono::seconds(6);
};

/// What is known about the end of an incarnation.
enum class incarnation_end
{
    /// A crash can't be told from the loss of the instance.
    unknown,
    /// The worker drained or left.
    with_notice,
    /// The worker ended without notice while its sidecar went on.
    crashed,
};

/// The last known state of an incarnation that a later one under the same id
/// has replaced.
struct replaced_incarnation
{
    core::incarnation life;
    incarnation_end how = incarnation_end::unknown;
    std::set<core::task_run> established;
};

/// What the leader knows about one incarnation of a worker.
struct worker_view
{
    /// Number of the incarnation among all that this leader has seen, from 1.
    /// It rises when the sidecar restarts.
    std::uint64_t number = 0;
    core::instance_id host;
    core::worker_profile profile;
    /// Incarnation of the sidecar.
    core::incarnation sidecar;
    /// When the last report arrived.
    core::time_point reported_at;
    /// The worker's clock in that report.
    core::duration clock{};
    /// When the first report with this reading of the clock arrived.
    core::time_point clock_changed_at;
    /// The worker's clock in the first report that contained its runs.
    core::duration first_clock{};
    /// When this leader saw last that another incarnation registered, or that
    /// the worker fell silent or answered again.
    core::time_point changed_at;
    /// True if the worker did not answer its sidecar before the last report.
    bool is_silent = false;
    /// End of the lease on the worker's clock.
    core::duration granted_until{};
    /// Time on the leader's clock at which the lease has certainly expired.
    core::time_point lease_expires_at;
    /// False until a report contained the worker's runs.
    bool has_runs = false;
    std::map<core::task_run, core::running_task> running;
    /// The worker's clock in the first report that listed each running run.
    std::map<core::task_run, core::duration> listed_since;
    /// Runs that became listed as running and are not known to have shown that
    /// their workflow has begun.
    std::vector<core::task_run> newly_listed;
    /// True if the last report made a run established.
    bool has_newly_established = false;
    /// Ended runs in the last report with runs.
    std::vector<core::ended_run> ended;
    /// True if runs that this report doesn't list may have ended.
    bool may_have_more_ends = false;
    /// Refused runs in the last report.
    std::vector<core::task_run> refused;
    /// Runs in the last report that have ended in a way that nobody knows.
    std::vector<core::task_run> ended_unseen;
    /// Runs with a start call that the worker may still execute, also after a
    /// restart under its id.
    std::set<core::task_run> unresolved_starts;
    /// True if all such calls are listed, also those of earlier sidecars.
    bool knows_all_starts = false;
    /// Highest version of orders that the sidecar reads.
    std::uint32_t order_version = 0;
    /// Runs of which the sidecar before had seen the effect of every start: it
    /// listed them as running, with no unresolved start of their tasks.
    std::set<core::task_run> settled_starts;
    /// When this leader got the first report of the sidecar.
    core::time_point sidecar_since;
    /// When a report of another sidecar than in the one before arrived.
    std::optional<core::time_point> sidecar_changed_at;
    /// True if the worker has shut down or was replaced on its instance.
    bool left = false;
    /// How it ended, if it left.
    incarnation_end how_ended = incarnation_end::unknown;
    /// Time on the leader's clock at which the leases of calls that were meant
    /// for an earlier incarnation have expired. Until `has_runs` it assumes
    /// that none is executed later than the registration.
    core::time_point late_starts_expire_at;
    std::optional<replaced_incarnation> replaced;
    /// Crashes of earlier incarnations on the instance in the last report.
    std::vector<core::worker_incarnation> crashes;
};

/// The leader's view of the workers, built from the reports of their sidecars.
///
/// It is not replicated: a new leader rebuilds it from the next reports. Until
/// this leader grants a worker a lease, it assumes that an earlier leader
/// granted the longest recorded one until the election.
class worker_fleet
{
public:
    /// @param recorded Longest lease that the replicated state recorded at the
    ///        election; zero if none was recorded.
    worker_fleet(lease_policy policy,
                 core::duration recorded,
                 core::time_point elected);

    /// Updates the view from a report. A report of an earlier incarnation than
    /// the known one is ignored.
    ///
    /// @return The worker's view, or null if the report was ignored.
    worker_view* report(core::time_point now, core::runtime_report report);

    /// Extends the lease of a worker, counted from its clock in the last
    /// report.
    ///
    /// Leadership must have been confirmed after that report arrived. Otherwise
    /// a deposed leader could extend a lease whose expiry its successor has
    /// already waited for.
    /// The lease is no longer than the recorded length.
    ///
    /// @param recorded Longest lease that the replicated state records now.
    void extend_lease(worker_view& worker, core::duration recorded) const;

    /// A longer length is recorded before a lease of this length is granted, a
    /// shorter one after the longer leases of earlier leaders have expired.
    ///
    /// @param recorded Longest lease that the replicated state records now.
    /// @return The length to record now; zero if nothing is to be recorded.
    core::duration length_to_record(core::time_point now,
                                    core::duration recorded) const;

    /// @return The view, or null.
    worker_view* find(core::worker_id const& worker);
    worker_view const* find(core::worker_id const& worker) const;

    std::map<core::worker_id, worker_view> const& all() const noexcept;
    std::map<core::worker_id, worker_view>& all() noexcept;

    /// Whether a run that was placed on an incarnation of a worker has
    /// certainly ended: the worker has left, or the lease has expired.
    ///
    /// The worker keeps its id when it restarts, so a later incarnation may
    /// execute the start. A run on a replaced incarnation has ended if the
    /// first list of the later one, which rejects all earlier calls from then
    /// on, and all lists since do not contain it.
    bool has_ended(core::time_point now,
                   core::worker_id const& worker,
                   core::incarnation life,
                   core::task_run const& run) const;

    /// @return True if reports to this leader have listed the run for
    ///         `establishment_time`, or the sidecar of a crashed worker has
    ///         seen that.
    bool is_established(core::worker_id const& worker,
                        core::incarnation life,
                        core::task_run const& run) const;

    /// @return What is known about the end of the incarnation: reported by its
    ///         sidecar, or observed by this leader.
    incarnation_end how_ended(core::worker_id const& worker,
                              core::incarnation life) const;

    /// @return True if the incarnation has been seen to run for long enough
    ///         that a crash right after the start of a task is evidence against
    ///         the task. A worker that restarts again and again is never
    ///         steady.
    bool is_steady(core::worker_id const& worker) const;

    /// @return How a run that ended with its worker ended: `lost` if it was
    ///         established or the worker gave notice, `crashed` if the worker
    ///         crashed, `suspected` if that is not known.
    core::run_end end_with_worker(core::worker_id const& worker,
                                  core::incarnation life,
                                  core::task_run const& run) const;

    /// @return `crashed` or `lost` for a run that ended as `suspected`, or
    ///         `nullopt` as long as nothing more is known. A worker whose
    ///         reports extend the incarnation's lease again did not crash.
    std::optional<core::run_end>
    resolve_suspected(core::time_point now,
                      core::worker_id const& worker,
                      core::incarnation life,
                      core::task_run const& run) const;

    /// @return True if a later incarnation of the worker has listed its runs.
    bool has_list_of_successor(core::worker_id const& worker,
                               core::incarnation life) const;

    /// @return True if a worker under another id has replaced this one on its
    ///         instance in the last minute: calls name the id, so they are
    ///         rejected there.
    bool is_replaced(core::worker_id const& worker) const;

    /// @return Longest time on the leader's clock for which a worker keeps a
    ///         run without a sync call.
    core::duration longest_lease() const;

    /// Removes workers that left or stopped reporting.
    ///
    /// @param has_runs Returns true for workers that must be kept, because runs
    ///        are placed on them.
    void prune(core::time_point now,
               std::function<bool(core::worker_id const&)> const& has_runs);

private:
    core::duration max_length_on_leader_clock(core::duration on_worker) const;
    /// @return When all leases that earlier leaders may have granted have
    ///         expired.
    core::time_point earlier_leases_expire_at() const;

    core::duration length() const;
    void add_incarnation(core::time_point now,
                         core::runtime_report const& report);
    /// Handles the first list of an incarnation.
    void add_late_calls(core::time_point now, worker_view& view) const;
    bool has_ended_on_successor(core::time_point now,
                                worker_view const& successor,
                                core::task_run const& run) const;

    lease_policy m_policy;
    /// Longest lease that earlier leaders may have granted.
    core::duration m_longest_earlier_lease{};
    core::time_point m_elected;
    std::uint64_t m_incarnations = 0;
    std::map<core::worker_id, worker_view> m_workers;
    /// When another worker has replaced each of these. It outlasts the view of
    /// a worker without runs.
    std::map<core::worker_id, core::time_point> m_replaced;
    crash_evidence m_evidence;
};

/// @return True if the last report says of the run that it has ended or was
///         refused.
bool reports_end(worker_view const& worker, core::task_run const& run);

/// @return True if the worker's sidecar lists a start call of the task that may
///         still be executed.
bool has_unresolved_start(worker_view const& worker,
                          core::task_ref const& task);

} // namespace turmericswitch::workflow

#endif
