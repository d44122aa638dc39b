#include "workflow/dispatch/worker_fleet.hpp"

#include "workflow/agent/worker_runtime.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// A worker's clock may be 2 % slow, so its lease may last 2 % longer on the
/// leader's clock.
constexpr std::int64_t slowest_clock_percent = 102;

/// Covers the rounding of the worker's clock to milliseconds and the delay of
/// its timers.
constexpr core::duration lease_margin = std::chrono::milliseconds(250);

/// Time on the worker's clock from its first list until the worker is steady.
/// Workers that crash without a task's doing often do so again right after
/// their start.
constexpr core::duration steady_time = 4 * establishment_time;

/// An idle worker without reports for this long is removed from the view.
constexpr core::duration forget_after = std::chrono::minutes(1);

/// A report may be a late one of the sidecar before, which doesn't tell what
/// that one has called since.
///
/// @return True if the sidecar has replaced another one for so short a time
///         that a start of that one may still be executed.
bool is_sidecar_new(core::time_point now, worker_view const& view)
{
    return view.sidecar_changed_at &&
           now - *view.sidecar_changed_at < longest_call_delay;
}

/// @param report The first report of a later incarnation.
incarnation_end how_replaced(worker_view const& before,
                             core::runtime_report const& report)
{
    if (before.left)
    {
        return before.how_ended;
    }
    if (before.profile.draining)
    {
        return incarnation_end::with_notice;
    }
    // With the instance its sidecar restarts too, which no task can cause.
    return before.host == report.host && before.sidecar == report.sidecar
               ? incarnation_end::crashed
               : incarnation_end::unknown;
}

/// @param view Of the last report of a sidecar that is replaced.
std::set<core::task_run> find_settled_starts(worker_view const& view)
{
    std::set<core::task_run> settled;
    for (auto const& [run, seen] : view.running)
    {
        bool const is_known =
            view.knows_all_starts || view.settled_starts.contains(run);
        if (is_known && !has_unresolved_start(view, run.task))
        {
            settled.insert(run);
        }
    }
    return settled;
}

bool is_established_in(worker_view const& view, core::task_run const& run)
{
    auto const since = view.listed_since.find(run);
    return since != view.listed_since.end() &&
           view.clock - since->second >= establishment_time;
}

replaced_incarnation replaced_by(worker_view const& before,
                                 core::runtime_report const& report)
{
    replaced_incarnation result;
    result.life = before.profile.life;
    result.how = how_replaced(before, report);
    for (auto const& [run, since] : before.listed_since)
    {
        if (is_established_in(before, run))
        {
            result.established.insert(run);
        }
    }
    return result;
}

/// @param clock_before The worker's clock in the report before.
void set_runs(worker_view& view,
              core::worker_runs runs,
              core::duration clock_before)
{
    view.has_runs = true;
    view.running.clear();
    auto const listed_before = std::exchange(view.listed_since, {});
    for (auto& each : runs.running)
    {
        auto const before = listed_before.find(each.run);
        bool const is_new = before == listed_before.end();
        auto const since = is_new ? view.clock : before->second;
        if (is_new)
        {
            view.newly_listed.push_back(each.run);
        }
        view.listed_since.emplace(each.run, since);
        view.has_newly_established =
            view.has_newly_established ||
            (view.clock - since >= establishment_time &&
             clock_before - since < establishment_time);
        view.running.emplace(each.run, std::move(each));
    }
    view.ended = std::move(runs.ended);
    view.may_have_more_ends = runs.may_have_more_ends;
}

} // namespace

worker_fleet::worker_fleet(lease_policy policy,
                           core::duration recorded,
                           core::time_point elected)
    : m_policy(policy),
      m_longest_earlier_lease(recorded > core::duration{} ? recorded
                                                          : policy.longest),
      m_elected(elected)
{
}

core::duration
worker_fleet::max_length_on_leader_clock(core::duration on_worker) const
{
    return on_worker * slowest_clock_percent / 100 + lease_margin;
}

core::time_point worker_fleet::earlier_leases_expire_at() const
{
    // Earlier leaders can't have granted a lease after the election.
    return m_elected + max_length_on_leader_clock(m_longest_earlier_lease);
}

core::duration worker_fleet::longest_lease() const
{
    return max_length_on_leader_clock(m_policy.longest);
}

core::duration worker_fleet::length() const
{
    return std::min(m_policy.length, m_policy.longest);
}

core::duration worker_fleet::length_to_record(core::time_point now,
                                              core::duration recorded) const
{
    bool const is_longer = recorded > core::duration{} && length() > recorded;
    bool const is_due = is_longer || now > earlier_leases_expire_at();
    return recorded != length() && is_due ? length() : core::duration{};
}

worker_view* worker_fleet::report(core::time_point now,
                                  core::runtime_report report)
{
    auto const id = report.profile.worker;
    auto known = m_workers.find(id);
    if (known != m_workers.end() &&
        report.profile.life < known->second.profile.life)
    {
        return nullptr;
    }
    if (known == m_workers.end() ||
        known->second.profile.life != report.profile.life)
    {
        add_incarnation(now, report);
        known = m_workers.find(id);
    }
    else if (known->second.sidecar != report.sidecar)
    {
        // The sidecar does not know which calls of the earlier one are under
        // way, so the worker must reject them.
        known->second.number = ++m_incarnations;
        known->second.settled_starts = find_settled_starts(known->second);
        known->second.sidecar_since = now;
        known->second.sidecar_changed_at = now;
    }
    auto& view = known->second;
    view.host = report.host;
    view.profile = std::move(report.profile);
    view.sidecar = report.sidecar;
    view.reported_at = now;
    view.has_newly_established = false;
    auto const clock_before = view.clock;
    if (view.is_silent != report.silent)
    {
        view.is_silent = report.silent;
        view.changed_at = now;
    }
    // A silent worker's clock may be read long before the first report of it
    // that this leader gets. A sidecar that has just started has no reading.
    if (!report.silent && report.runs && view.clock != report.clock)
    {
        view.clock = report.clock;
        view.clock_changed_at = now;
    }
    if (report.left && !view.left)
    {
        view.left = true;
        view.how_ended = incarnation_end::with_notice;
    }
    view.crashes.clear();
    for (auto const& each : report.crashed)
    {
        view.crashes.push_back(each.id);
    }
    m_evidence.add(now, report.crashed);
    view.refused = std::move(report.refused);
    view.ended_unseen = std::move(report.ended_unseen);
    view.unresolved_starts = {report.unresolved.runs.begin(),
                              report.unresolved.runs.end()};
    view.order_version = report.order_version;
    view.knows_all_starts =
        report.unresolved.is_complete && !is_sidecar_new(now, view);
    if (report.runs)
    {
        if (!view.has_runs)
        {
            view.first_clock = view.clock;
            add_late_calls(now, view);
        }
        set_runs(view, std::move(*report.runs), clock_before);
    }
    return &view;
}

void worker_fleet::add_late_calls(core::time_point now, worker_view& view) const
{
    // An elected leader may not have seen the earlier incarnation, but the
    // table has its runs.
    view.late_starts_expire_at =
        now + max_length_on_leader_clock(m_policy.longest);
    if (view.replaced)
    {
        // The deadline of a call that was meant for an earlier incarnation is
        // on another clock, so only the worker's own limit bounds the lease.
        view.lease_expires_at =
            std::max(view.lease_expires_at,
                     now + max_length_on_leader_clock(m_policy.longest));
    }
}

void worker_fleet::add_incarnation(core::time_point now,
                                   core::runtime_report const& report)
{
    auto const& id = report.profile.worker;
    m_replaced.erase(id);
    worker_view added;
    added.number = ++m_incarnations;
    added.is_silent = report.silent;
    added.late_starts_expire_at =
        now + max_length_on_leader_clock(m_policy.longest);
    added.sidecar_since = now;
    if (auto const* const before = find(id))
    {
        added.sidecar_changed_at = now;
        if (before->sidecar == report.sidecar)
        {
            added.sidecar_since = before->sidecar_since;
            added.sidecar_changed_at = before->sidecar_changed_at;
        }
        added.replaced = replaced_by(*before, report);
        added.changed_at = now;
        if (!before->has_runs)
        {
            // A worker that restarts again and again must not hold the runs for
            // ever.
            added.late_starts_expire_at = before->late_starts_expire_at;
        }
    }
    else if (!report.runs)
    {
        // It may have followed another incarnation before the election.
        added.changed_at = now;
    }
    // Only one worker runs on an instance at a time, so earlier ones have
    // ended.
    for (auto& [other, view] : m_workers)
    {
        if (view.host == report.host && view.profile.life < report.profile.life)
        {
            view.how_ended = how_replaced(view, report);
            view.left = true;
            if (other != id)
            {
                m_replaced[other] = now;
            }
        }
    }
    added.lease_expires_at = earlier_leases_expire_at();
    added.clock_changed_at = now;
    m_workers.insert_or_assign(id, std::move(added));
}

bool worker_fleet::is_established(core::worker_id const& worker,
                                  core::incarnation life,
                                  core::task_run const& run) const
{
    auto const* const reported = m_evidence.find(worker, life);
    if (reported != nullptr && reported->contains(run))
    {
        return true;
    }
    auto const* const view = find(worker);
    if (view == nullptr)
    {
        return false;
    }
    if (view->replaced && view->replaced->life == life)
    {
        return view->replaced->established.contains(run);
    }
    return view->profile.life == life && is_established_in(*view, run);
}

bool worker_fleet::is_steady(core::worker_id const& worker) const
{
    auto const* const view = find(worker);
    return view != nullptr && view->has_runs &&
           view->clock - view->first_clock >= steady_time;
}

incarnation_end worker_fleet::how_ended(core::worker_id const& worker,
                                        core::incarnation life) const
{
    if (m_evidence.find(worker, life) != nullptr)
    {
        return incarnation_end::crashed;
    }
    auto const* const view = find(worker);
    if (view != nullptr && view->replaced && view->replaced->life == life)
    {
        return view->replaced->how;
    }
    if (view == nullptr || view->profile.life != life)
    {
        return incarnation_end::unknown;
    }
    return !view->left && view->profile.draining ? incarnation_end::with_notice
                                                 : view->how_ended;
}

void worker_fleet::extend_lease(worker_view& worker,
                                core::duration recorded) const
{
    auto const granted =
        recorded > core::duration{} ? std::min(length(), recorded) : length();
    worker.granted_until =
        std::max(worker.granted_until, worker.clock + granted);
    // Counted from the first report with this reading: a sidecar repeats the
    // last clock of a worker that doesn't answer.
    worker.lease_expires_at =
        std::max(worker.lease_expires_at,
                 worker.clock_changed_at + max_length_on_leader_clock(granted));
}

worker_view* worker_fleet::find(core::worker_id const& worker)
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? nullptr : &known->second;
}

worker_view const* worker_fleet::find(core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? nullptr : &known->second;
}

std::map<core::worker_id, worker_view> const& worker_fleet::all() const noexcept
{
    return m_workers;
}

std::map<core::worker_id, worker_view>& worker_fleet::all() noexcept
{
    return m_workers;
}

bool worker_fleet::has_ended(core::time_point now,
                             core::worker_id const& worker,
                             core::incarnation life,
                             core::task_run const& run) const
{
    auto const* const view = find(worker);
    if (view != nullptr && life < view->profile.life)
    {
        return has_ended_on_successor(now, *view, run);
    }
    if (m_evidence.find(worker, life) != nullptr)
    {
        return true;
    }
    if (view == nullptr || view->profile.life != life)
    {
        // An earlier leader placed the run, and this one has granted the
        // incarnation nothing.
        return now > earlier_leases_expire_at();
    }
    return view->left || now > view->lease_expires_at;
}

bool worker_fleet::has_ended_on_successor(core::time_point now,
                                          worker_view const& successor,
                                          core::task_run const& run) const
{
    if (successor.left)
    {
        return true;
    }
    if (successor.has_runs && !successor.may_have_more_ends &&
        !successor.running.contains(run))
    {
        return true;
    }
    bool const is_lease_over =
        !successor.has_runs || now > successor.lease_expires_at;
    return is_lease_over && now > successor.late_starts_expire_at;
}

core::run_end worker_fleet::end_with_worker(core::worker_id const& worker,
                                            core::incarnation life,
                                            core::task_run const& run) const
{
    auto const how = how_ended(worker, life);
    if (how == incarnation_end::with_notice ||
        is_established(worker, life, run))
    {
        return core::run_end::lost;
    }
    return how == incarnation_end::crashed ? core::run_end::crashed
                                           : core::run_end::suspected;
}

std::optional<core::run_end>
worker_fleet::resolve_suspected(core::time_point now,
                                core::worker_id const& worker,
                                core::incarnation life,
                                core::task_run const& run) const
{
    if (how_ended(worker, life) != incarnation_end::unknown)
    {
        return end_with_worker(worker, life, run);
    }
    auto const* const view = find(worker);
    bool const is_alive = view != nullptr && view->profile.life == life &&
                          view->has_runs && !view->is_silent &&
                          view->granted_until > core::duration{} &&
                          !has_ended(now, worker, life, run);
    return is_alive ? std::optional(core::run_end::lost) : std::nullopt;
}

bool worker_fleet::has_list_of_successor(core::worker_id const& worker,
                                         core::incarnation life) const
{
    auto const* const view = find(worker);
    return view != nullptr && life < view->profile.life && view->has_runs;
}

bool worker_fleet::is_replaced(core::worker_id const& worker) const
{
    return m_replaced.contains(worker);
}

void worker_fleet::prune(
    core::time_point now,
    std::function<bool(core::worker_id const&)> const& has_runs)
{
    m_evidence.prune(now);
    std::erase_if(m_replaced,
                  [now](auto const& item)
                  { return now - item.second > forget_after; });
    std::erase_if(m_workers,
                  [&](auto const& item)
                  {
                      auto const& view = item.second;
                      bool const is_gone =
                          view.left || now - view.reported_at > forget_after;
                      return is_gone && !has_runs(item.first);
                  });
}

bool reports_end(worker_view const& worker, core::task_run const& run)
{
    auto const contains = [&run](std::vector<core::task_run> const& runs)
    { return std::find(runs.begin(), runs.end(), run) != runs.end(); };
    return std::any_of(worker.ended.begin(),
                       worker.ended.end(),
                       [&run](core::ended_run const& each)
                       { return each.run == run; }) ||
           contains(worker.refused) || contains(worker.ended_unseen);
}

bool has_unresolved_start(worker_view const& worker, core::task_ref const& task)
{
    auto const first =
        worker.unresolved_starts.lower_bound({task, core::attempt_number(0)});
    return first != worker.unresolved_starts.end() && first->task == task;
}

} // namespace turmericswitch::workflow
