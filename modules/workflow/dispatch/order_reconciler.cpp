#include "workflow/dispatch/order_reconciler.hpp"

#include "workflow/dispatch/pace_controller.hpp"
#include "workflow/dispatch/stage_planner.hpp"
#include "workflow/table/stage_tasks.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Orders are sent again after this time. It is longer than the effect of an
/// order takes to show in a report.
constexpr core::duration resend_after = std::chrono::milliseconds(1500);

/// Paces below full speed are repeated at this interval, because a worker may
/// execute an earlier, higher pace late.
constexpr core::duration repeat_pace_after = std::chrono::milliseconds(1500);

/// A worker that runs what the leader doesn't know gets no starts for this long
/// on its clock: a stop takes less, and a worker that never stops the run must
/// not be unusable for ever.
constexpr core::duration longest_unknown_run = std::chrono::seconds(5);

/// Records that an order is sent now, unless it was sent shortly before.
///
/// @param repeat_at Lowered to the time at which the order is due again.
/// @return True if the order must be sent.
bool is_due(std::map<core::task_run, core::time_point>& sent,
            core::task_run const& run,
            core::time_point now,
            core::time_point& repeat_at)
{
    auto const [known, is_new] = sent.try_emplace(run, now);
    bool const is_sent = is_new || now - known->second >= resend_after;
    if (is_sent)
    {
        known->second = now;
    }
    repeat_at = std::min(repeat_at, known->second + resend_after);
    return is_sent;
}

/// @return True if no start of a task of the stage may be called while an
///         earlier one may still be executed. Tasks that may have copies may
///         run twice. Callers allow a long-running task too little time without
///         a run for that, and it has no end that a start could follow.
bool needs_single_call(core::stage_description const& stage)
{
    return !workflow_table::may_be_copied(stage) &&
           !stage.behaviour.long_running;
}

/// @return True if less of `need` brings `used` nearer to `capacity`.
bool lowers_excess(core::resources const& need,
                   core::resources const& used,
                   core::resources const& capacity)
{
    auto const lowers = [](auto part, auto all, auto most)
    { return part > decltype(part)(0) && all > most; };
    return lowers(need.cpu, used.cpu, capacity.cpu) ||
           lowers(need.memory, used.memory, capacity.memory) ||
           lowers(need.accelerators, used.accelerators, capacity.accelerators);
}

} // namespace

order_reconciler::order_reconciler(workflow_table const& table) : m_table(table)
{
}

void order_reconciler::mark_changed(core::worker_id const& worker)
{
    m_changed.insert(worker);
}

std::set<core::worker_id> order_reconciler::due_workers(core::time_point now)
{
    auto due = std::exchange(m_changed, {});
    if (auto changed = m_table.changed_workers().read(m_read))
    {
        due.merge(*changed);
    }
    else
    {
        for (auto const& [worker, runs] : m_table.holds())
        {
            due.insert(worker);
        }
        for (auto const& [worker, sent] : m_sent)
        {
            due.insert(worker);
        }
    }
    while (!m_repeats.empty() && m_repeats.begin()->first <= now)
    {
        auto const worker = m_repeats.begin()->second;
        due.insert(worker);
        schedule_repeat(worker, std::nullopt);
    }
    return due;
}

bool order_reconciler::is_other_run_done(core::workflow_record const& workflow,
                                         observed_run const& seen)
{
    if (seen.stage == nullptr || !workflow_table::may_be_copied(*seen.stage))
    {
        return false;
    }
    auto const& ref = seen.run->task;
    auto const* const stage =
        workflow_table::find_stage_record(workflow, ref.occurrence, ref.stage);
    return stage != nullptr && is_task_done(*stage, ref.index);
}

std::vector<order_reconciler::observed_run>
order_reconciler::observe(worker_view const& worker) const
{
    std::vector<observed_run> runs;
    core::workflow_record const* workflow = nullptr;
    auto const add =
        [&](core::task_run const& run, bool is_held, bool is_running)
    {
        if (workflow == nullptr || workflow->workflow != run.task.workflow)
        {
            workflow = m_table.find(run.task.workflow);
        }
        observed_run seen{&run, nullptr, is_running};
        seen.has_ended =
            !is_running && (m_ending.contains(run) || reports_end(worker, run));
        if (workflow != nullptr)
        {
            seen.stage = workflow_table::find_stage(*workflow, run.task);
            seen.should_run = is_held && !core::is_final(workflow->state) &&
                              !m_evicting.contains(run) &&
                              !is_other_run_done(*workflow, seen);
        }
        runs.push_back(seen);
    };
    // Both lists are in the order of the runs.
    auto running = worker.running.begin();
    for (auto const& [run, life] : m_table.held_on(worker.profile.worker))
    {
        if (life != worker.profile.life)
        {
            continue;
        }
        for (; running != worker.running.end() && running->first < run;
             ++running)
        {
            add(running->first, false, true);
        }
        bool const is_running =
            running != worker.running.end() && running->first == run;
        add(run, true, is_running);
        if (is_running)
        {
            ++running;
        }
    }
    for (; running != worker.running.end(); ++running)
    {
        add(running->first, false, true);
    }
    return runs;
}

void order_reconciler::remove_finished(std::vector<observed_run> const& runs,
                                       sent_state& sent)
{
    auto const is_gone = [&runs](auto const& item)
    {
        return !std::binary_search(runs.begin(),
                                   runs.end(),
                                   observed_run{&item.first},
                                   [](auto const& a, auto const& b)
                                   { return *a.run < *b.run; });
    };
    std::erase_if(sent.starts, is_gone);
    std::erase_if(sent.stops, is_gone);
    std::erase_if(sent.paces, is_gone);
}

core::resources
order_reconciler::reserved_by_all(std::vector<observed_run> const& runs)
{
    core::resources total;
    for (auto const& seen : runs)
    {
        if (seen.stage != nullptr && !seen.has_ended)
        {
            total += reserved_by(*seen.stage);
        }
    }
    return total;
}

bool order_reconciler::has_unknown_need(worker_view const& worker,
                                        std::vector<observed_run> const& runs)
{
    return std::any_of(runs.begin(),
                       runs.end(),
                       [&worker](observed_run const& seen)
                       {
                           return seen.is_running && seen.stage == nullptr &&
                                  worker.clock -
                                          worker.listed_since.at(*seen.run) <
                                      longest_unknown_run;
                       });
}

bool order_reconciler::yields_to(observed_run const* a,
                                 observed_run const* b) const
{
    auto const* const first = m_table.find(a->run->task.workflow);
    auto const* const second = m_table.find(b->run->task.workflow);
    return std::tie(second->queue.priority, second->submitted, *b->run) <
           std::tie(first->queue.priority, first->submitted, *a->run);
}

void order_reconciler::withdraw_excess(core::time_point now,
                                       worker_view const& worker,
                                       std::vector<observed_run>& runs,
                                       sent_state const& sent)
{
    auto const& capacity = worker.profile.capacity;
    core::resources used;
    std::vector<observed_run*> starts;
    for (auto& seen : runs)
    {
        if (!seen.should_run || seen.stage == nullptr || seen.has_ended)
        {
            continue;
        }
        used += reserved_by(*seen.stage);
        auto const start = sent.starts.find(*seen.run);
        bool const is_in_flight =
            start != sent.starts.end() && now - start->second < resend_after;
        if (!seen.is_running && !is_in_flight)
        {
            starts.push_back(&seen);
        }
    }
    std::sort(starts.begin(),
              starts.end(),
              [this](auto const* a, auto const* b) { return yields_to(a, b); });
    // The second pass is for starts that need nothing of what is overcommitted:
    // running work alone may exceed the capacity for long.
    for (bool const is_last : {false, true})
    {
        for (auto* const seen : starts)
        {
            auto const need = reserved_by(*seen->stage);
            bool const is_excess =
                is_last || lowers_excess(need, used, capacity);
            if (seen->should_run && is_excess && !core::fits_in(used, capacity))
            {
                withdraw(worker.profile.worker, *seen);
                seen->should_run = false;
                used -= need;
            }
        }
    }
    // Other members of a withdrawn gang may be on the same worker.
    for (auto& seen : runs)
    {
        seen.should_run = seen.should_run && !m_evicting.contains(*seen.run);
    }
}

void order_reconciler::withdraw(core::worker_id const& worker,
                                observed_run const& seen)
{
    m_withdrawn.push_back(*seen.run);
    evict(worker, *seen.run);
    if (!seen.stage->behaviour.gang)
    {
        return;
    }
    // The other members would hold their capacity until they end `alone`.
    auto const& ref = seen.run->task;
    auto const& record = *workflow_table::find_stage_record(
        *m_table.find(ref.workflow), ref.occurrence, ref.stage);
    for (std::size_t i = 0; i < record.tasks.size(); ++i)
    {
        auto const& member = record.tasks[i];
        if (member.placed && member.attempt == seen.run->attempt)
        {
            auto run = *seen.run;
            run.task.index = record.indices[i];
            evict(member.worker, run);
        }
    }
}

std::vector<core::task_run> order_reconciler::take_withdrawn()
{
    return std::exchange(m_withdrawn, {});
}

core::runtime_orders order_reconciler::take_due(core::time_point now,
                                                worker_view const& worker,
                                                bool may_start,
                                                call_hook const& may_call,
                                                pace_hook const& pace)
{
    core::runtime_orders orders;
    auto const& id = worker.profile.worker;
    m_changed.erase(id);
    if (!worker.has_runs || worker.left)
    {
        schedule_repeat(id, std::nullopt);
        return orders;
    }
    auto runs = observe(worker);
    auto& sent = m_sent[id];
    remove_finished(runs, sent);
    // Work that is being stopped, or whose start may be in flight, counts.
    orders.reserved = reserved_by_all(runs);
    bool const has_excess =
        !core::fits_in(orders.reserved, worker.profile.capacity);
    bool const is_overcommitted = has_excess || has_unknown_need(worker, runs);
    if (has_excess)
    {
        withdraw_excess(now, worker, runs, sent);
    }
    auto repeat_at = core::time_point::max();
    for (auto const& seen : runs)
    {
        auto const& [run, stage, is_running, should_run, has_ended] = seen;
        if (has_ended)
        {
            continue;
        }
        if (!should_run)
        {
            // Also stops runs that the worker does not list: their starts may
            // still be in flight.
            if (is_due(sent.stops, *run, now, repeat_at))
            {
                orders.stops.push_back(*run);
            }
        }
        else if (!is_running && is_overcommitted)
        {
            if (auto const start = sent.starts.find(*run);
                start != sent.starts.end())
            {
                repeat_at = std::min(repeat_at, start->second + resend_after);
            }
        }
        else if (!is_running && worker.may_have_more_ends)
        {
            // The run may have ended. The next list tells more, because the
            // ends in this one are acknowledged as soon as they are committed.
            repeat_at = std::min(repeat_at, now + resend_after);
        }
        else if (!is_running && !may_start)
        {
            // A start that was sent shortly before may have begun the run.
            if (is_due(sent.starts, *run, now, repeat_at))
            {
                withdraw(id, seen);
            }
        }
        else if (!is_running)
        {
            if (needs_single_call(*stage) && !may_call(*run))
            {
                repeat_at = std::min(repeat_at, now + resend_after);
            }
            else if (is_due(sent.starts, *run, now, repeat_at))
            {
                add_start(*run, *stage, worker, orders);
            }
        }
        else if (stage != nullptr && stage->behaviour.uses_spare_cpu)
        {
            auto const wanted = pace(*run);
            if (is_pace_due(now, *run, wanted, sent))
            {
                orders.paces.push_back({*run, wanted});
            }
            if (wanted < full_pace)
            {
                repeat_at = std::min(
                    repeat_at, sent.paces.at(*run).sent + repeat_pace_after);
            }
        }
    }
    sent.has_sent_paces = true;
    schedule_repeat(id,
                    repeat_at == core::time_point::max()
                        ? std::nullopt
                        : std::optional(repeat_at));
    return orders;
}

bool order_reconciler::is_pace_due(core::time_point now,
                                   core::task_run const& run,
                                   std::uint32_t wanted,
                                   sent_state& sent)
{
    auto const [known, is_new] =
        sent.paces.try_emplace(run, sent_pace{full_pace, now});
    bool const is_unknown = is_new && !sent.has_sent_paces;
    bool const is_repeat =
        wanted < full_pace && now - known->second.sent >= repeat_pace_after;
    if (known->second.percent == wanted && !is_unknown && !is_repeat)
    {
        return false;
    }
    known->second = {wanted, now};
    return true;
}

void order_reconciler::schedule_repeat(core::worker_id const& worker,
                                       std::optional<core::time_point> at)
{
    auto& sent = m_sent[worker];
    if (sent.repeat_at == at)
    {
        return;
    }
    if (sent.repeat_at)
    {
        m_repeats.erase({*sent.repeat_at, worker});
    }
    if (at)
    {
        m_repeats.insert({*at, worker});
    }
    sent.repeat_at = at;
}

void order_reconciler::add_start(core::task_run const& run,
                                 core::stage_description const& stage,
                                 worker_view const& worker,
                                 core::runtime_orders& orders) const
{
    auto const& id = run.task.workflow;
    auto group = std::find_if(orders.starts.begin(),
                              orders.starts.end(),
                              [&id](core::start_group const& each)
                              { return each.workflow == id; });
    if (group == orders.starts.end())
    {
        orders.starts.push_back(
            {id, m_table.find(id)->description.payload, {}});
        group = std::prev(orders.starts.end());
    }
    bool const is_flag_readable = worker.order_version >= 1;
    group->starts.push_back({run,
                             m_table.find_task(run.task)->checkpoint,
                             worker.granted_until,
                             is_flag_readable && needs_single_call(stage)});
}

void order_reconciler::evict(core::worker_id const& worker,
                             core::task_run const& run)
{
    m_evicting.insert(run);
    m_changed.insert(worker);
}

std::set<core::task_run> const& order_reconciler::evicting() const noexcept
{
    return m_evicting;
}

void order_reconciler::set_ending(std::vector<core::run_outcome> const& ends)
{
    m_ending.clear();
    for (auto const& each : ends)
    {
        m_ending.insert(each.run);
    }
}

void order_reconciler::ended(core::task_run const& run)
{
    m_evicting.erase(run);
    m_ending.erase(run);
}

void order_reconciler::forget(core::worker_id const& worker)
{
    schedule_repeat(worker, std::nullopt);
    m_sent.erase(worker);
    m_changed.insert(worker);
}

} // namespace turmericswitch::workflow
