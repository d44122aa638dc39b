#include "workflow/dispatch/worker_health.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

namespace
{

/// Number of workflows that must fail on a worker, or of starts that it must
/// refuse, without a success in between. With fewer failed workflows, these may
/// be at fault themselves.
constexpr std::size_t consecutive_failures = 3;

constexpr core::duration min_quarantine = std::chrono::seconds(2);
constexpr core::duration max_quarantine = std::chrono::seconds(16);

/// Quarantines after refused starts are short: a refused start costs only
/// messages, and a healthy worker refuses starts too when orders get lost.
constexpr core::duration min_refusal_quarantine =
    std::chrono::milliseconds(250);
constexpr core::duration max_refusal_quarantine = std::chrono::seconds(2);

/// Bounds the starts that a worker which fails every task can waste.
constexpr core::duration trial_interval = std::chrono::seconds(1);

} // namespace

void worker_health::record_end(core::time_point now,
                               core::worker_id const& worker,
                               core::task_run const& run,
                               core::run_end how)
{
    if (how == core::run_end::done)
    {
        m_workers.erase(worker);
        return;
    }
    if (how != core::run_end::failed && how != core::run_end::refused)
    {
        return;
    }
    auto& record = m_workers[worker];
    auto const& workflow = run.task.workflow;
    // A refusal is never the fault of the workflow, so each one counts.
    if (how == core::run_end::refused)
    {
        ++record.refusals;
    }
    else if (std::find(record.failed.begin(), record.failed.end(), workflow) ==
             record.failed.end())
    {
        record.failed.push_back(workflow);
    }
    if (std::max(record.failed.size(), record.refusals) >=
            consecutive_failures &&
        now >= record.quarantined_until)
    {
        bool const is_refusal = how == core::run_end::refused;
        auto const min = is_refusal ? min_refusal_quarantine : min_quarantine;
        auto const max = is_refusal ? max_refusal_quarantine : max_quarantine;
        record.quarantine = std::clamp(record.quarantine * 2, min, max);
        record.quarantined_until = now + record.quarantine;
    }
}

bool worker_health::is_quarantined(core::time_point now,
                                   core::worker_id const& worker) const
{
    auto const record = m_workers.find(worker);
    return record != m_workers.end() && now < record->second.quarantined_until;
}

bool worker_health::is_trial_due(core::time_point now,
                                 core::worker_id const& worker) const
{
    auto const record = m_workers.find(worker);
    return record != m_workers.end() && now >= record->second.next_trial;
}

void worker_health::record_trial(core::time_point now,
                                 core::worker_id const& worker)
{
    if (auto const record = m_workers.find(worker); record != m_workers.end())
    {
        record->second.next_trial = now + trial_interval;
    }
}

void worker_health::forget(core::worker_id const& worker)
{
    m_workers.erase(worker);
}

} // namespace turmericswitch::workflow
