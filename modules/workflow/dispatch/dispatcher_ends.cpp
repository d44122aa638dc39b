#include "core/config/queue_address.hpp"
#include "workflow/dispatch/dispatch_events.hpp"
#include "workflow/dispatch/dispatcher.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

// The dispatcher's part that handles the ends of runs.

namespace turmericswitch::workflow
{

namespace
{

bool is_end_with_worker(core::run_end how)
{
    return how == core::run_end::lost || how == core::run_end::crashed ||
           how == core::run_end::suspected;
}

} // namespace

void dispatcher::record_end(core::time_point now,
                            core::run_outcome const& outcome)
{
    auto const placed = m_placed_at.find(outcome.run);
    std::optional<bool> established;
    if (is_end_with_worker(outcome.how))
    {
        established =
            m_fleet.is_established(outcome.worker, outcome.life, outcome.run);
    }
    m_on_event(run_ended_event(outcome,
                               placed == m_placed_at.end()
                                   ? std::nullopt
                                   : std::optional(now - placed->second),
                               established,
                               is_end_assumed(outcome)));
    if (m_orders.evicting().contains(outcome.run))
    {
        // The leader asked for this end; it says nothing about the worker.
        return;
    }
    bool const was_usable = !m_health.is_quarantined(now, outcome.worker);
    m_health.record_end(now, outcome.worker, outcome.run, outcome.how);
    if (was_usable && m_health.is_quarantined(now, outcome.worker))
    {
        m_on_event(worker_set_aside_event(outcome));
    }
}

bool dispatcher::is_end_assumed(core::run_outcome const& outcome) const
{
    auto const* const view = m_fleet.find(outcome.worker);
    return view != nullptr && has_ended_unseen(*view, outcome.run);
}

void dispatcher::emit_isolated(core::run_outcome const& outcome) const
{
    auto const* const task = m_table.find_task(outcome.run.task);
    if (outcome.how == core::run_end::crashed && task != nullptr &&
        suspicion_after(task->crashes) == crash_suspicion::isolated)
    {
        m_on_event(task_isolated_event(outcome, task->crashes));
    }
}

void dispatcher::emit_lost_workers(core::time_point now,
                                   core::workflow_progress const& command) const
{
    std::map<core::worker_id, lost_runs> lost;
    for (auto const& each : command.ends)
    {
        if (is_end_with_worker(each.how))
        {
            auto& runs = lost[each.worker];
            ++runs.all;
            runs.not_established +=
                m_fleet.is_established(each.worker, each.life, each.run) ? 0
                                                                         : 1;
            runs.has_crashed =
                runs.has_crashed || m_fleet.how_ended(each.worker, each.life) ==
                                        incarnation_end::crashed;
        }
    }
    for (auto const& [worker, runs] : lost)
    {
        m_on_event(worker_lost_event(now, worker, runs, m_fleet.find(worker)));
    }
}

void dispatcher::record_run_time(core::time_point now,
                                 core::run_outcome const& outcome)
{
    auto const placed = m_placed_at.extract(outcome.run);
    auto const* const workflow = m_table.find(outcome.run.task.workflow);
    if (placed.empty() || workflow == nullptr ||
        outcome.how != core::run_end::done)
    {
        return;
    }
    // The table has dropped the stages of an ended workflow but keeps its
    // queue.
    auto const* const stage = m_table.find_stage(outcome.run.task);
    m_run_times.record_run(core::address_of(workflow->queue),
                           stage == nullptr ? std::string()
                                            : stage->behaviour.image,
                           now - placed.mapped());
    if (stage != nullptr && m_options.placement.speed)
    {
        m_speeds.record_run(now, outcome, *stage, now - placed.mapped());
    }
}

void dispatcher::acknowledge_ends(worker_view const& view,
                                  core::runtime_grant& answer)
{
    std::uint64_t committed = 0;
    bool is_withheld = false;
    for (auto const& each : view.ended)
    {
        if (m_ends.is_open(each, view.profile.worker))
        {
            break;
        }
        committed = each.number;
        // The number is for all ends up to it.
        is_withheld = is_withheld || m_late_starts.must_stay_listed(each, view);
        if (!is_withheld)
        {
            answer.acknowledged_ends = each.number;
        }
    }
    answer.committed_ends = is_withheld ? committed : 0;
    note_withheld(view, answer);
}

void dispatcher::note_withheld(worker_view const& view,
                               core::runtime_grant const& answer)
{
    auto const& worker = view.profile.worker;
    auto const known = m_withheld.find(worker);
    bool const is_other =
        known != m_withheld.end() && known->second.life != view.profile.life;
    if (known != m_withheld.end() && (is_other || answer.committed_ends == 0))
    {
        m_on_event(ends_withheld_event(worker,
                                       known->second,
                                       view.reported_at - known->second.since,
                                       !is_other));
        m_withheld.erase(known);
    }
    if (answer.committed_ends > 0)
    {
        std::erase_if(m_withheld,
                      [this](auto const& item)
                      { return m_fleet.find(item.first) == nullptr; });
        auto& ends =
            m_withheld
                .try_emplace(worker,
                             withheld_ends{view.profile.life,
                                           view.reported_at,
                                           answer.acknowledged_ends + 1,
                                           0})
                .first->second;
        ends.last = std::max(ends.last, answer.committed_ends);
    }
}

void dispatcher::mark_unresolved(core::time_point now,
                                 std::vector<core::run_outcome>& ends)
{
    std::set<stage_ref> ended_gangs;
    for (auto& each : ends)
    {
        core::run_placement const run{each.run, each.worker, each.life};
        bool const may_follow =
            m_late_starts.examine(now, run, first_call_after(run));
        each.is_start_unresolved = must_stay_if_unresolved(each) && may_follow;
        if (is_end_of_task(each.how) &&
            ended_gangs.insert(stage_of(each.run.task)).second)
        {
            for (auto const& member : m_table.held_gang_runs(each.run.task))
            {
                m_late_starts.examine(now, member, first_call_after(member));
            }
        }
    }
}

std::optional<core::time_point>
dispatcher::first_call_after(core::run_placement const& run) const
{
    auto const* const task = m_table.find_task(run.run.task);
    bool const has_earlier_call =
        task != nullptr && task->unresolved_on == run.worker;
    auto const placed = m_placed_at.find(run.run);
    return has_earlier_call || placed == m_placed_at.end()
               ? std::nullopt
               : std::optional(placed->second);
}

bool dispatcher::must_stay_if_unresolved(core::run_outcome const& end) const
{
    auto const* const stage = m_table.find_stage(end.run.task);
    // Tasks that may have copies may also run twice.
    if (stage == nullptr || workflow_table::may_be_copied(*stage))
    {
        return false;
    }
    if (!stage->behaviour.long_running)
    {
        return end.how != core::run_end::done;
    }
    // After a lease, nothing is left of the time that callers allow a
    // long-running task without a run.
    return !is_end_with_worker(end.how) ||
           m_fleet.has_list_of_successor(end.worker, end.life);
}

void dispatcher::evict_needless_runs(worker_view const& view)
{
    for (auto const& each : view.ended)
    {
        if (auto const later = m_ends.find_needless_run(each))
        {
            m_orders.evict(later->worker, later->run);
        }
    }
}

} // namespace turmericswitch::workflow
