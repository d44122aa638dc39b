#include "workflow/dispatch/job_accounts.hpp"

#include "core/config/queue_address.hpp"
#include "workflow/table/stage_tasks.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Time between two renewals of the ranks. Work changes with run times, which
/// are seconds or more.
constexpr core::duration renewal_interval = std::chrono::milliseconds(200);

/// Time between two measurements of the capacity, which changes when
/// long-running tasks start or end and when their load changes.
constexpr core::duration supply_interval = std::chrono::seconds(1);

/// Part of a new measurement in the smoothed fulfilment: run times are averages
/// over tens of seconds too.
constexpr double fulfilment_rate = 0.1;

/// Confidence in a submitter's estimate, which is up to 90% off, against the
/// average of the waiting jobs.
constexpr double estimate_confidence = 0.3;

constexpr double millicores_per_core = 1000;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// @return True if the job ends, so that it has an objective.
bool has_objective(core::workflow_record const& workflow)
{
    auto const& stages = workflow.description.stages;
    return workflow.description.schedule.occurrences == 0 &&
           std::none_of(stages.begin(),
                        stages.end(),
                        [](core::stage_description const& stage)
                        { return stage.behaviour.long_running; });
}

/// @param times Expected time of each stage.
/// @return Time of the longest chain of dependent stages.
core::duration longest_chain(std::vector<core::stage_description> const& stages,
                             std::vector<core::duration> const& times)
{
    std::vector<core::duration> ends(stages.size());
    core::duration longest{};
    for (std::size_t i = 0; i < stages.size(); ++i)
    {
        for (auto const earlier : stages[i].after)
        {
            ends[i] = std::max(ends[i], ends[earlier]);
        }
        ends[i] += times[i];
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

} // namespace

job_accounts::job_accounts(workflow_table const& table,
                           run_time_model const& run_times,
                           overload::overload_options options)
    : m_table(table), m_run_times(run_times), m_options(options)
{
}

bool job_accounts::read_changes()
{
    auto const changed = m_table.changed_workflows().read(m_read);
    if (!changed)
    {
        m_jobs.clear();
        m_changed = m_table.active();
        return true;
    }
    bool is_new = false;
    for (auto const& id : *changed)
    {
        m_changed.insert(id);
        is_new =
            is_new || (!m_jobs.contains(id) && m_table.active().contains(id));
    }
    return is_new;
}

void job_accounts::update(core::time_point now,
                          core::time_point cluster_now,
                          supply_hook const& supply)
{
    bool const is_new = read_changes();
    if (!is_new && now < m_next_renewal)
    {
        return;
    }
    m_next_renewal = now + renewal_interval;
    for (auto const& id : std::exchange(m_changed, {}))
    {
        examine(id);
    }
    if (now >= m_next_supply)
    {
        m_next_supply = now + supply_interval;
        auto const before = m_supply.fulfilment;
        m_supply = supply();
        m_supply.fulfilment =
            before + fulfilment_rate * (m_supply.fulfilment - before);
    }
    m_accounts.clear();
    for (auto const& [id, progress] : m_jobs)
    {
        if (!progress.empty())
        {
            m_accounts.push_back(account_of(*m_table.find(id), progress));
        }
    }
    m_ranks = overload::rank_jobs(
        m_accounts, m_supply.capacities, cluster_now, m_options.value);
    note_worsened();
}

void job_accounts::note_worsened()
{
    std::erase_if(m_reported,
                  [this](auto const& item)
                  { return !m_ranks.contains(item.first); });
    for (auto const& account : m_accounts)
    {
        auto const expected = m_ranks.at(account.job).expected;
        auto& reported = m_reported[account.job];
        if (expected > reported)
        {
            reported = expected;
            m_worsened.push_back(account);
        }
    }
}

std::vector<overload::job_account> job_accounts::take_worsened()
{
    return std::exchange(m_worsened, {});
}

void job_accounts::examine(core::workflow_id const& id)
{
    if (!m_table.active().contains(id))
    {
        record_end(id);
        m_jobs.erase(id);
        return;
    }
    auto const& workflow = *m_table.find(id);
    // Empty for a job without an objective.
    job_progress progress;
    constexpr double half = 0.5;
    if (has_objective(workflow))
    {
        auto const& stages = workflow.description.stages;
        for (std::uint32_t number = 0; number < stages.size(); ++number)
        {
            double left = stages[number].tasks;
            auto unplaced = stages[number].tasks;
            if (auto const* const record =
                    workflow_table::find_stage_record(workflow, 0, number))
            {
                auto const done = count_done(*record);
                auto const at_work = static_cast<std::uint32_t>(
                    std::count_if(record->tasks.begin(),
                                  record->tasks.end(),
                                  [](core::task_record const& task)
                                  { return task.placed && !task.done; }));
                left -= done + half * at_work;
                unplaced -= done + at_work;
            }
            progress.push_back({left, unplaced > 0});
        }
    }
    m_jobs.insert_or_assign(id, std::move(progress));
}

void job_accounts::record_end(core::workflow_id const& id)
{
    auto const* const workflow = m_table.find(id);
    auto const account = std::find_if(m_accounts.begin(),
                                      m_accounts.end(),
                                      [&id](overload::job_account const& each)
                                      { return each.job == id; });
    if (workflow == nullptr || account == m_accounts.end() ||
        workflow->state == core::workflow_state::cancelled)
    {
        return;
    }
    m_fairness.record_end(account->address,
                          account->total_work,
                          workflow->state == core::workflow_state::completed &&
                              workflow->ended <= due_time(*account));
}

overload::job_account
job_accounts::account_of(core::workflow_record const& workflow,
                         job_progress const& progress) const
{
    auto const& stages = workflow.description.stages;
    overload::job_account account;
    account.job = workflow.workflow;
    account.queue = workflow.queue.queue;
    account.address = core::address_of(workflow.queue);
    account.priority = workflow.queue.priority;
    account.submitted = workflow.submitted;
    std::vector<core::duration> times;
    std::vector<core::duration> times_left;
    double largest = 0;
    for (std::size_t i = 0; i < stages.size(); ++i)
    {
        auto const& stage = stages[i];
        auto time = m_run_times.expected(account.address, stage);
        bool const is_learned = time != stage.estimate;
        if (is_learned && stage.behaviour.uses_spare_cpu)
        {
            // Learned run times contain the time for which the tasks got less
            // CPU than they request.
            time = std::chrono::duration_cast<core::duration>(
                time * m_supply.fulfilment);
        }
        if (!is_learned)
        {
            account.confidence = estimate_confidence;
        }
        auto const [left, has_unplaced] = progress[i];
        auto const task_work = seconds(time) *
                               static_cast<double>(stage.need.cpu.value()) /
                               millicores_per_core;
        account.total_work += stage.tasks * task_work;
        account.remaining_work += left * task_work;
        if (left * task_work >= largest)
        {
            largest = left * task_work;
            account.pool = {workflow.queue.service,
                            stage.behaviour.uses_spare_cpu};
        }
        times.push_back(time);
        times_left.push_back(has_unplaced ? time
                             : left > 0   ? time / 2
                                          : core::duration{});
    }
    account.invested_work = account.total_work - account.remaining_work;
    account.remaining_path = longest_chain(stages, times_left);
    account.objective =
        longest_chain(stages, times) * workflow.queue.stretch_permille / 1000 +
        workflow.queue.target_latency;
    account.is_protected =
        m_fairness.is_protected(account.address, account.total_work);
    return account;
}

std::optional<overload::job_account>
job_accounts::account_of_new(core::workflow_record const& workflow) const
{
    auto const& stages = workflow.description.stages;
    if (stages.empty() || !has_objective(workflow))
    {
        return std::nullopt;
    }
    job_progress progress;
    for (auto const& stage : stages)
    {
        progress.push_back({static_cast<double>(stage.tasks), true});
    }
    return account_of(workflow, progress);
}

overload::job_rank const* job_accounts::rank(core::workflow_id const& job) const
{
    auto const known = m_ranks.find(job);
    return known == m_ranks.end() ? nullptr : &known->second;
}

std::vector<overload::job_account> const&
job_accounts::accounts() const noexcept
{
    return m_accounts;
}

overload::pool_capacities const& job_accounts::capacities() const noexcept
{
    return m_supply.capacities;
}

} // namespace turmericswitch::workflow
