#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_JOB_ACCOUNTS_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_JOB_ACCOUNTS_HPP

#include "core/messages/workflow.hpp"
#include "overload/overload.hpp"
#include "workflow/dispatch/pool_supply.hpp"
#include "workflow/dispatch/run_time_model.hpp"
#include "workflow/table/workflow_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace turmericswitch::workflow
{

/// Keeps an account of each job that ends, and ranks the jobs.
///
/// The ranks are renewed at intervals and when a job was submitted, so the cost
/// does not grow with the number of starts.
class job_accounts
{
public:
    using supply_hook = std::function<pool_supply()>;

    /// The table and the model must outlive the object.
    job_accounts(workflow_table const& table,
                 run_time_model const& run_times,
                 overload::overload_options options);

    /// Renews the ranks if they are due.
    ///
    /// @param cluster_now On the clock of the submission times.
    void update(core::time_point now,
                core::time_point cluster_now,
                supply_hook const& supply);

    /// @return The job's rank, or null for one without an end, with a schedule,
    ///         or that has ended.
    overload::job_rank const* rank(core::workflow_id const& job) const;

    /// @return The jobs that became late or hopeless since the last call, each
    ///         reported at most once for each prospect.
    std::vector<overload::job_account> take_worsened();

    /// @return The account of a workflow that may not be in the table;
    /// `nullopt`
    ///         for one that has no end or a schedule.
    std::optional<overload::job_account>
    account_of_new(core::workflow_record const& workflow) const;

    /// @return The accounts of the last renewal, in the order of their ids.
    std::vector<overload::job_account> const& accounts() const noexcept;

    /// @return CPU for each pool at the last renewal, in cores.
    overload::pool_capacities const& capacities() const noexcept;

private:
    /// What is left of a stage. A task that is placed counts as half done.
    struct stage_progress
    {
        double remaining_tasks = 0;
        bool has_unplaced = false;
    };

    /// The progress of each stage.
    using job_progress = std::vector<stage_progress>;

    /// @return True if a job was submitted.
    bool read_changes();
    void examine(core::workflow_id const& id);
    void record_end(core::workflow_id const& id);
    void note_worsened();
    overload::job_account account_of(core::workflow_record const& workflow,
                                     job_progress const& progress) const;

    workflow_table const& m_table;
    run_time_model const& m_run_times;
    overload::overload_options m_options;
    overload::class_fairness m_fairness;
    change_log<core::workflow_id>::position m_read =
        change_log<core::workflow_id>::unread;
    std::set<core::workflow_id> m_changed;
    std::map<core::workflow_id, job_progress> m_jobs;
    std::vector<overload::job_account> m_accounts;
    overload::job_ranks m_ranks;
    /// Worst prospect that was reported for each job.
    std::map<core::workflow_id, overload::prospect> m_reported;
    std::vector<overload::job_account> m_worsened;
    pool_supply m_supply;
    core::time_point m_next_renewal;
    core::time_point m_next_supply;
};

} // namespace turmericswitch::workflow

#endif
