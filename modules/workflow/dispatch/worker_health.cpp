#include "workflow/dispatch/worker_health.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

namespace
{

/// Number of workflows that must fail on a worker without a success in between.
/// With fewer, these may be at fault themselves.
constexpr std::size_t consecutive_failures = 3;

constexpr core::duration min_quarantine = std::chrono::seconds(2);
constexpr core::duration max_quarantine = std::chrono::seconds(16);

/// Pauses are short: a refused start costs only messages, and a healthy worker
/// refuses starts too when orders get lost.
constexpr core::duration min_pause = std::chrono::milliseconds(250);
constexpr core::duration max_pause = std::chrono::seconds(2);

/// Weight of the last start in the share of refused ones.
constexpr double last_start_weight = 0.25;

/// Refusals below this share don't limit the starts.
constexpr double limiting_share = 0.1;

/// Above the first share most starts are refused. The lower second one, at
/// which that ends, keeps a worker near the first from changing by turns.
constexpr double most_refused = 0.5;
constexpr double few_refused = 0.25;

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
        if (auto const known = m_workers.find(worker); known != m_workers.end())
        {
            auto& record = known->second;
            record.failed.clear();
            record.quarantine = {};
            record.quarantined_until = {};
        }
    }
    else if (how == core::run_end::refused)
    {
        record_refused(now, m_workers[worker]);
    }
    else if (how == core::run_end::failed)
    {
        record_failed(now, run.task.workflow, m_workers[worker]);
    }
}

void worker_health::record_refused(core::time_point now, history& record)
{
    record.refused += (1 - record.refused) * last_start_weight;
    if (record.refused <= most_refused)
    {
        return;
    }
    record.refuses_most = true;
    if (now >= record.paused_until)
    {
        record.pause = std::clamp(record.pause * 2, min_pause, max_pause);
        record.paused_until = now + record.pause;
    }
}

void worker_health::record_begun(core::worker_id const& worker)
{
    auto const known = m_workers.find(worker);
    if (known == m_workers.end())
    {
        return;
    }
    auto& record = known->second;
    record.refused -= record.refused * last_start_weight;
    record.pause = {};
    record.refuses_most = record.refuses_most && record.refused >= few_refused;
}

void worker_health::record_failed(core::time_point now,
                                  core::workflow_id const& workflow,
                                  history& record)
{
    auto& failed = record.failed;
    if (std::find(failed.begin(), failed.end(), workflow) == failed.end())
    {
        failed.push_back(workflow);
    }
    if (failed.size() >= consecutive_failures &&
        now >= record.quarantined_until)
    {
        record.quarantine =
            std::clamp(record.quarantine * 2, min_quarantine, max_quarantine);
        record.quarantined_until = now + record.quarantine;
    }
}

double worker_health::refused_share(core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? 0 : known->second.refused;
}

std::optional<std::size_t>
worker_health::max_undecided_starts(core::worker_id const& worker) const
{
    auto const share = refused_share(worker);
    return share < limiting_share
               ? std::nullopt
               : std::optional(static_cast<std::size_t>(1 / share));
}

bool worker_health::is_sick(core::time_point now,
                            core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known != m_workers.end() && (known->second.refuses_most ||
                                        now < known->second.quarantined_until);
}

bool worker_health::is_quarantined(core::time_point now,
                                   core::worker_id const& worker) const
{
    auto const record = m_workers.find(worker);
    return record != m_workers.end() &&
           now < std::max(record->second.quarantined_until,
                          record->second.paused_until);
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
