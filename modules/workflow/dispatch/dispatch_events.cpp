#include "workflow/dispatch/dispatch_events.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

using core::event_code;
using core::number_field;
using core::text_field;
using core::time_field;

namespace
{

constexpr double milliseconds_per_second = 1000;

constexpr double percent_of_one = 100;

std::vector<core::event_field> fields_of(core::task_run const& run,
                                         core::worker_id const& worker)
{
    return {text_field("task", core::to_string(run.task)),
            number_field("attempt", run.attempt.value()),
            text_field("worker", worker.value())};
}

double worst_tail(colocation_sample const& sample)
{
    double worst = 0;
    for (auto const& task : sample.serving)
    {
        worst = std::max(worst, task.tail);
    }
    return worst;
}

} // namespace

core::event worker_seen_event(worker_view const& view)
{
    return {event_code::worker_seen,
            {text_field("worker", view.profile.worker.value()),
             number_field("life", view.profile.life.value()),
             text_field("instance", view.host.value()),
             text_field("zone", view.profile.zone.value())}};
}

core::event refusals_outdated_event(worker_view const& view,
                                    std::uint64_t refused_under,
                                    std::uint64_t current)
{
    return {event_code::refusals_outdated,
            {text_field("worker", view.profile.worker.value()),
             number_field("runs", view.refused.size()),
             number_field("token", refused_under),
             number_field("granted_token", current)}};
}

core::event worker_lost_event(core::time_point now,
                              core::worker_id const& worker,
                              lost_runs const& runs,
                              worker_view const* view)
{
    core::event event{event_code::worker_lost,
                      {text_field("worker", worker.value()),
                       number_field("runs", runs.all),
                       number_field("not_established", runs.not_established),
                       number_field("crashed", runs.has_crashed ? 1 : 0)}};
    if (view != nullptr)
    {
        event.fields.push_back(
            time_field("report_age_ms", now - view->reported_at));
        event.fields.push_back(
            number_field("life", view->profile.life.value()));
    }
    return event;
}

core::event worker_set_aside_event(core::run_outcome const& last)
{
    return {event_code::worker_set_aside,
            {text_field("worker", last.worker.value()),
             text_field("task", core::to_string(last.run.task)),
             text_field("how", core::to_string(last.how))}};
}

core::event pace_event(core::worker_id const& worker,
                       core::run_pace const& pace,
                       std::uint32_t before,
                       colocation_sample const& sample)
{
    core::event event{event_code::pace_decided, fields_of(pace.run, worker)};
    for (auto& field : {number_field("percent", pace.percent),
                        number_field("before", before),
                        number_field("worst_tail_percent",
                                     worst_tail(sample) * percent_of_one),
                        number_field("serving", sample.serving.size()),
                        number_field("spare", sample.best_effort.size())})
    {
        event.fields.push_back(field);
    }
    return event;
}

core::event run_evicted_event(core::worker_id const& worker,
                              core::task_run const& run,
                              core::worker_id const& next)
{
    core::event event{event_code::run_evicted, fields_of(run, worker)};
    event.fields.push_back(text_field("next", next.value()));
    return event;
}

core::event run_moved_event(run_move const& move)
{
    core::event event{event_code::run_moved, fields_of(move.run, move.worker)};
    event.fields.push_back(
        text_field("for_workflow", move.waiting.workflow.value()));
    event.fields.push_back(number_field("for_stage", move.waiting.stage));
    return event;
}

core::event task_fits_nowhere_event(oversized_stage const& found)
{
    auto const& [workflow, occurrence, stage] = found.stage;
    return {event_code::task_fits_nowhere,
            {text_field("workflow", workflow.value()),
             number_field("occurrence", occurrence),
             number_field("stage", stage),
             text_field("service", found.service.value()),
             text_field("why", found.reason)}};
}

core::event job_refused_event(core::time_point cluster_now,
                              overload::job_account const& account,
                              overload::admission_decision const& decision)
{
    return {event_code::job_refused,
            {text_field("workflow", account.job.value()),
             text_field("queue", account.queue.value()),
             time_field("ends_in_ms", decision.expected_end - cluster_now),
             time_field("latest_in_ms",
                        overload::latest_useful_time(account) - cluster_now),
             time_field("retry_after_ms", decision.retry_after),
             number_field("work_ahead_ms",
                          decision.work_ahead * milliseconds_per_second)}};
}

core::event job_prospect_event(core::time_point cluster_now,
                               overload::job_account const& account,
                               overload::job_rank const& rank)
{
    return {
        event_code::job_prospect_changed,
        {text_field("workflow", account.job.value()),
         text_field("queue", account.queue.value()),
         text_field("prospect", overload::to_string(rank.expected)),
         number_field("position", rank.position),
         number_field("priority", account.priority),
         number_field("work_left_ms",
                      account.remaining_work * milliseconds_per_second),
         time_field("ends_in_ms", rank.expected_end - cluster_now),
         time_field("due_in_ms", overload::due_time(account) - cluster_now)}};
}

core::event run_preempted_event(preemption const& what)
{
    core::event event{event_code::run_preempted,
                      fields_of(what.victim.run, what.worker)};
    for (auto& field :
         {text_field("for", what.claimant.workflow.value()),
          text_field("prospect", overload::to_string(what.victim.expected)),
          number_field("priority", what.victim.priority),
          time_field("lost_ms", what.victim.since_checkpoint)})
    {
        event.fields.push_back(field);
    }
    return event;
}

core::event start_withdrawn_event(core::worker_id const& worker,
                                  core::task_run const& run)
{
    return {event_code::start_withdrawn, fields_of(run, worker)};
}

core::event run_placed_event(core::time_point now,
                             core::run_placement const& placed,
                             core::workflow_record const* workflow,
                             std::optional<core::duration> waited,
                             worker_view const* view)
{
    core::event event{event_code::run_placed,
                      fields_of(placed.run, placed.worker)};
    if (workflow != nullptr)
    {
        event.fields.push_back(
            number_field("priority", workflow->queue.priority));
    }
    if (waited)
    {
        event.fields.push_back(time_field("waited_ms", *waited));
    }
    if (view != nullptr)
    {
        event.fields.push_back(
            time_field("report_age_ms", now - view->reported_at));
    }
    return event;
}

core::event run_ended_event(core::run_outcome const& outcome,
                            std::optional<core::duration> since_placed,
                            std::optional<bool> established,
                            bool is_assumed)
{
    core::event event{event_code::run_ended,
                      fields_of(outcome.run, outcome.worker)};
    event.fields.push_back(text_field("how", core::to_string(outcome.how)));
    if (since_placed)
    {
        event.fields.push_back(time_field("since_placed_ms", *since_placed));
    }
    if (established)
    {
        event.fields.push_back(
            number_field("established", *established ? 1 : 0));
    }
    if (is_assumed)
    {
        event.fields.push_back(number_field("assumed", 1));
    }
    if (outcome.is_start_unresolved)
    {
        event.fields.push_back(number_field("unresolved", 1));
    }
    return event;
}

core::event ends_withheld_event(core::worker_id const& worker,
                                withheld_ends const& ends,
                                core::duration time,
                                bool is_acknowledged)
{
    return {event_code::ends_withheld,
            {text_field("worker", worker.value()),
             number_field("life", ends.life.value()),
             number_field("first", ends.first),
             number_field("last", ends.last),
             time_field("time_ms", time),
             number_field("acknowledged", is_acknowledged ? 1 : 0)}};
}

core::event late_end_event(core::run_outcome const& outcome)
{
    core::event event{event_code::late_end_counted,
                      fields_of(outcome.run, outcome.worker)};
    event.fields.push_back(text_field("how", core::to_string(outcome.how)));
    return event;
}

core::event copy_decided_event(copy_decision const& decision)
{
    core::event event{
        event_code::copy_decided,
        fields_of(decision.placement.run, decision.placement.worker)};
    event.fields.push_back(text_field("of", decision.of.value()));
    event.fields.push_back(text_field("why", to_string(decision.why)));
    return event;
}

core::event suspicion_resolved_event(core::run_outcome const& outcome)
{
    core::event event{event_code::suspicion_resolved,
                      fields_of(outcome.run, outcome.worker)};
    event.fields.push_back(text_field("how", core::to_string(outcome.how)));
    event.fields.push_back(number_field("life", outcome.life.value()));
    return event;
}

core::event task_isolated_event(core::run_outcome const& outcome,
                                std::uint32_t crashes)
{
    core::event event{event_code::task_isolated,
                      fields_of(outcome.run, outcome.worker)};
    event.fields.push_back(number_field("crashes", crashes));
    return event;
}

} // namespace turmericswitch::workflow
