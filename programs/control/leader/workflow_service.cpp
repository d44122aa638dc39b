#include "leader/workflow_service.hpp"

#include "core/config/queue_address.hpp"
#include "node/wall_clock.hpp"
#include "wire/json/json_members.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace turmericswitch::control
{

namespace
{

/// Plans also run without an event, to detect lost workers and start scheduled
/// workflows.
constexpr core::duration plan_interval = std::chrono::milliseconds(100);

/// Interval of the summary that is logged and published as metrics.
constexpr core::duration summary_interval = std::chrono::seconds(1);

template <typename Answer>
Answer not_leader()
{
    Answer refusal;
    refusal.code = core::result_code::not_leader;
    return refusal;
}

bool is_empty(core::runtime_orders const& orders)
{
    return orders.starts.empty() && orders.stops.empty() &&
           orders.paces.empty();
}

/// @return The number of tasks, the resources and estimated run time of one
/// task, and the options that restrict where it may run.
std::string summary_of(core::stage_description const& stage)
{
    constexpr unsigned mebibyte_shift = 20;
    std::string text =
        std::to_string(stage.tasks) + "x" +
        std::to_string(stage.need.cpu.value()) + "m/" +
        std::to_string(stage.need.memory.value() >> mebibyte_shift) + "MiB/" +
        std::to_string(wire::to_milliseconds(stage.estimate)) + "ms";
    text += stage.behaviour.uses_spare_cpu ? "/spare" : "";
    text += stage.behaviour.long_running ? "/long" : "";
    text += stage.behaviour.gang ? "/gang" : "";
    if (auto const target = stage.behaviour.target_latency;
        target > core::duration{})
    {
        text += "/target" + std::to_string(wire::to_milliseconds(target));
    }
    if (auto const most = stage.constraints.max_per_worker; most > 0)
    {
        text += "/per" + std::to_string(most);
    }
    return text + "/" + stage.behaviour.image;
}

std::set<core::worker_id>
workers_with_runs(workflow::workflow_table const& table)
{
    std::set<core::worker_id> workers;
    for (auto const& [worker, runs] : table.holds())
    {
        workers.insert(worker);
    }
    return workers;
}

} // namespace

workflow_service::workflow_service(process::event_loop& loop,
                                   replica& node,
                                   workflow::dispatch_options options,
                                   core::event_hook on_event,
                                   telemetry::metrics_registry& metrics)
    : m_loop(loop),
      m_node(node),
      m_on_event(std::move(on_event)),
      m_metrics(metrics),
      m_dispatcher(node.state().workflows(),
                   options,
                   node.current_term(),
                   process::event_loop::now(),
                   m_on_event),
      m_submissions(std::make_shared<submission_handler>(
          node, m_dispatcher, m_on_event, metrics)),
      m_fleet_progress(process::event_loop::now(),
                       workers_with_runs(node.state().workflows())),
      m_commit_time(
          metrics.latency("turmericswitch_control_commit_seconds",
                          "Time from a plan to its commit, on the leader.")),
      m_workflow_time(metrics.latency(
          "turmericswitch_control_workflow_seconds",
          "Age of workflows when they ended, completed or failed.")),
      m_placements(metrics.counter("turmericswitch_control_placements_total",
                                   "Runs that were placed on a worker.")),
      m_copies(metrics.counter(
          "turmericswitch_control_copies_total",
          "Second runs of tasks that were placed on a worker.")),
      m_ends(metrics.counter("turmericswitch_control_run_ends_total",
                             "Ends of runs that were committed.")),
      m_waiting(metrics.gauge("turmericswitch_control_waiting_tasks",
                              "Tasks that wait for a worker.")),
      m_held(metrics.gauge("turmericswitch_control_held_runs",
                           "Runs that hold room on a worker.")),
      m_usable(metrics.gauge("turmericswitch_control_usable_workers",
                             "Workers that may get tasks.")),
      m_wide_percent(
          metrics.gauge("turmericswitch_control_wide_capacity_percent",
                        "Share of the free CPU that can take the largest "
                        "request in the queue.")),
      m_oversized(metrics.gauge("turmericswitch_control_oversized_stages",
                                "Waiting stages whose tasks fit on no worker."))
{
    for (std::size_t i = 1; i < workflow::placement_obstacles; ++i)
    {
        auto const why = static_cast<workflow::placement_obstacle>(i);
        m_held_back.emplace(
            why,
            &metrics.gauge("turmericswitch_control_held_back_tasks",
                           "Waiting tasks by what held them back in the last "
                           "plan.",
                           {{"why", std::string(workflow::to_string(why))}}));
    }
}

void workflow_service::end()
{
    m_ended = true;
    m_submissions->end();
    for (auto const& each : std::exchange(m_reports, {}))
    {
        each.done(not_leader<core::runtime_grant>());
    }
    for (auto const& [worker, poll] : std::exchange(m_polls, {}))
    {
        poll.done(not_leader<core::runtime_orders>());
    }
    for (auto const& each : std::exchange(m_queries, {}))
    {
        each.done(not_leader<core::workflow_answer>());
    }
}

void workflow_service::tick(core::time_point now)
{
    if (now >= m_next_plan)
    {
        m_next_plan = now + plan_interval;
        plan();
        deliver_orders();
        end_expired_polls();
    }
    publish_summary(now);
    publish_fleet_progress(now);
    confirm_reports();
    confirm_queries();
}

void workflow_service::applied(core::command_body const& command,
                               core::command_reply const& reply)
{
    auto const* const submitted = std::get_if<core::submit_workflow>(&command);
    if (submitted != nullptr && reply.code == core::result_code::ok)
    {
        log_accepted(*submitted);
    }
    if (auto const* const cancelled =
            std::get_if<core::cancel_workflow>(&command))
    {
        log_cancelled(*cancelled);
    }
    if (std::holds_alternative<core::submit_workflow>(command) ||
        std::holds_alternative<core::cancel_workflow>(command))
    {
        schedule_plan();
    }
}

void workflow_service::submit(forwarded_submission submission, reply_hook done)
{
    m_submissions->submit(std::move(submission), std::move(done));
}

void workflow_service::cancel(core::command_envelope envelope, reply_hook done)
{
    m_submissions->cancel(std::move(envelope), std::move(done));
}

void workflow_service::report(core::runtime_report report, grant_hook done)
{
    waiting_report waiting{
        report.profile.worker, report.profile.life, std::move(done)};
    if (!m_dispatcher.report(process::event_loop::now(), std::move(report)))
    {
        waiting.done(m_dispatcher.grant(waiting.worker, waiting.life));
        return;
    }
    m_fleet_progress.reported(process::event_loop::now(), waiting.worker);
    m_reports.push_back(std::move(waiting));
    schedule_plan();
}

void workflow_service::schedule_plan()
{
    if (std::exchange(m_plan_scheduled, true))
    {
        return;
    }
    m_loop.post(
        [self = shared_from_this()]
        {
            self->m_plan_scheduled = false;
            if (!self->m_ended)
            {
                self->plan();
                self->deliver_orders();
            }
        });
}

void workflow_service::plan()
{
    // The end of a commit plans again.
    if (m_ended || m_is_planning)
    {
        return;
    }
    auto command = m_dispatcher.plan(
        {process::event_loop::now(), m_node.cluster_now(), wall_now()},
        m_node.state().config().in_force());
    if (!command)
    {
        return;
    }
    m_is_planning = true;
    auto copy = *command;
    // A command that is proposed after a report arrived and committed in this
    // leader's term confirms the leadership that the answer requires.
    m_node.propose(std::move(*command),
                   {},
                   {},
                   [self = shared_from_this(),
                    sent = std::move(copy),
                    begun = process::event_loop::now(),
                    confirmed = std::exchange(m_reports, {})](
                       core::command_reply const& reply)
                   {
                       self->m_is_planning = false;
                       if (self->m_ended || reply.code != core::result_code::ok)
                       {
                           self->m_dispatcher.rejected(sent);
                           for (auto const& each : confirmed)
                           {
                               each.done(not_leader<core::runtime_grant>());
                           }
                           return;
                       }
                       self->record_commit_time(begun);
                       self->on_committed(sent, confirmed);
                   });
}

void workflow_service::record_commit_time(core::time_point begun)
{
    auto const took = process::event_loop::now() - begun;
    m_commit_time.add(took);
    m_submissions->add_commit_time(took);
}

void workflow_service::on_committed(
    core::workflow_progress const& command,
    std::vector<waiting_report> const& confirmed)
{
    m_placements.add(command.placements.size());
    m_copies.add(static_cast<std::uint64_t>(
        std::count_if(command.placements.begin(),
                      command.placements.end(),
                      [](auto const& placed) { return placed.is_copy; })));
    m_ends.add(command.ends.size());
    m_dispatcher.applied(process::event_loop::now(), command);
    record_ended(command);
    answer_committed_reports(confirmed);
    // The ends may have made dependent stages ready.
    plan();
    deliver_orders();
}

void workflow_service::answer_committed_reports(
    std::vector<waiting_report> reports)
{
    for (auto& each : reports)
    {
        if (m_dispatcher.has_uncommitted_ends(each.worker))
        {
            m_reports.push_back(std::move(each));
            continue;
        }
        each.done(m_dispatcher.grant(each.worker, each.life));
    }
}

void workflow_service::confirm_reports()
{
    if (m_reports.empty() || m_is_planning)
    {
        return;
    }
    m_node.read(
        [self = shared_from_this(),
         waiting = std::exchange(m_reports, {})](core::result_code code)
        {
            if (!self->m_ended && code == core::result_code::ok)
            {
                self->answer_committed_reports(waiting);
                return;
            }
            for (auto const& each : waiting)
            {
                each.done(not_leader<core::runtime_grant>());
            }
        });
}

void workflow_service::poll_orders(core::orders_request const& request,
                                   orders_hook done)
{
    auto const now = process::event_loop::now();
    m_dispatcher.acknowledge_orders(request.worker, request.received_batch);
    auto orders = take_orders(now, request);
    if (!is_empty(orders))
    {
        done(std::move(orders));
        return;
    }
    auto const known = m_polls.find(request.worker);
    if (known != m_polls.end() && request.life < known->second.request.life)
    {
        done(std::move(orders));
        return;
    }
    // A sidecar has one open poll at a time, so an earlier one was abandoned.
    // Without an answer its stream would be reset, and the sidecar would drop
    // the connection with all other calls on it.
    if (known != m_polls.end())
    {
        auto const abandoned = m_polls.extract(known);
        abandoned.mapped().done({});
    }
    m_polls.emplace(
        request.worker,
        waiting_poll{request, now + request.max_wait, std::move(done)});
}

core::runtime_orders
workflow_service::take_orders(core::time_point now,
                              core::orders_request const& request)
{
    return m_dispatcher.take_orders(
        now, request.worker, request.life, m_node.state().config().in_force());
}

void workflow_service::deliver_orders()
{
    auto const now = process::event_loop::now();
    for (auto const& worker : m_dispatcher.workers_with_orders(now))
    {
        auto const poll = m_polls.find(worker);
        if (poll == m_polls.end())
        {
            // The worker's next poll takes the orders.
            continue;
        }
        auto orders = take_orders(now, poll->second.request);
        if (!is_empty(orders))
        {
            auto const answered = m_polls.extract(poll);
            answered.mapped().done(std::move(orders));
        }
    }
}

void workflow_service::end_expired_polls()
{
    auto const now = process::event_loop::now();
    std::vector<waiting_poll> expired;
    std::erase_if(m_polls,
                  [&](auto& item)
                  {
                      bool const is_expired = now >= item.second.until;
                      if (is_expired)
                      {
                          expired.push_back(std::move(item.second));
                      }
                      return is_expired;
                  });
    for (auto const& poll : expired)
    {
        poll.done(take_orders(now, poll.request));
    }
}

void workflow_service::query(core::workflow_query query, query_hook done)
{
    m_queries.push_back({std::move(query), std::move(done)});
}

void workflow_service::confirm_queries()
{
    if (m_queries.empty())
    {
        return;
    }
    m_node.read(
        [self = shared_from_this(),
         waiting = std::exchange(m_queries, {})](core::result_code code)
        {
            for (auto const& [query, done] : waiting)
            {
                bool const is_confirmed =
                    !self->m_ended && code == core::result_code::ok;
                done(is_confirmed ? self->answer_to(query)
                                  : not_leader<core::workflow_answer>());
            }
        });
}

core::workflow_answer
workflow_service::answer_to(core::workflow_query const& query) const
{
    auto const& table = m_node.state().workflows();
    core::workflow_answer answer;
    if (query.workflow.value().empty())
    {
        auto const* const queue =
            m_node.state().config().find_queue(query.queue, query.address);
        if (queue == nullptr)
        {
            // The gateway's configuration may be older than this one.
            answer.code = core::result_code::queue_unknown;
            return answer;
        }
        answer.waiting = table.waiting(core::address_of(*queue));
        return answer;
    }
    auto const* const found =
        table.find(query.queue, query.address, query.workflow);
    if (found == nullptr)
    {
        answer.code = core::result_code::job_unknown;
        return answer;
    }
    answer.state = found->state;
    return answer;
}

void workflow_service::log_accepted(core::submit_workflow const& command) const
{
    std::string stages;
    for (auto const& stage : command.description.stages)
    {
        stages += (stages.empty() ? "" : " ") + summary_of(stage);
    }
    m_on_event({core::event_code::workflow_accepted,
                {core::text_field("workflow", command.workflow.value()),
                 core::text_field("queue", command.queue.value()),
                 core::number_field("occurrences",
                                    command.description.schedule.occurrences),
                 core::text_field("stages", stages)}});
}

void workflow_service::log_cancelled(core::cancel_workflow const& command) const
{
    m_on_event({core::event_code::workflow_cancelled,
                {core::text_field("workflow", command.workflow.value()),
                 core::text_field("queue", command.queue.value())}});
}

void workflow_service::record_ended(core::workflow_progress const& command)
{
    auto const now = m_node.cluster_now();
    std::set<core::workflow_id> seen;
    for (auto const& end : command.ends)
    {
        auto const& id = end.run.task.workflow;
        auto const* const workflow = m_node.state().workflows().find(id);
        if (workflow == nullptr || !core::is_final(workflow->state) ||
            workflow->state == core::workflow_state::cancelled ||
            !seen.insert(id).second)
        {
            continue;
        }
        auto const age = now - workflow->submitted;
        m_workflow_time.add(age);
        m_on_event({core::event_code::workflow_ended,
                    {core::text_field("workflow", id.value()),
                     core::text_field("queue", workflow->queue.queue.value()),
                     core::text_field("state", to_string(workflow->state)),
                     core::time_field("age_ms", age)}});
    }
}

void workflow_service::publish_fleet_progress(core::time_point now)
{
    if (!m_fleet_progress.take_due(now))
    {
        return;
    }
    auto const counts =
        m_dispatcher.counts(now, m_node.state().config().in_force());
    m_on_event(
        m_fleet_progress.event(m_dispatcher.term(), counts.usable_workers));
    for (auto const& [percent, field] : fleet_progress::shares)
    {
        if (auto const time = m_fleet_progress.time_to(percent))
        {
            m_metrics
                .latency("turmericswitch_control_workers_relearned_seconds",
                         "Time from the begin of a leadership until this "
                         "percentage of the workers with runs had reported.",
                         {{"share", std::to_string(percent)}})
                .add(*time);
        }
    }
}

void workflow_service::publish_summary(core::time_point now)
{
    if (now < m_next_summary)
    {
        return;
    }
    m_next_summary = now + summary_interval;
    auto const counts =
        m_dispatcher.counts(now, m_node.state().config().in_force());
    m_waiting.set(static_cast<std::int64_t>(counts.waiting_tasks));
    m_held.set(static_cast<std::int64_t>(counts.held_runs));
    m_usable.set(static_cast<std::int64_t>(counts.usable_workers));
    m_wide_percent.set(counts.free.index_percent());
    m_oversized.set(static_cast<std::int64_t>(counts.oversized_stages));
    for (auto const& [why, gauge] : m_held_back)
    {
        gauge->set(static_cast<std::int64_t>(
            counts.held_back.at(static_cast<std::size_t>(why))));
    }
    if (counts.waiting_tasks + counts.held_runs == 0)
    {
        return;
    }
    m_on_event(
        {core::event_code::dispatch_summary,
         {core::number_field("workers", counts.workers),
          core::number_field("usable", counts.usable_workers),
          core::number_field("waiting", counts.waiting_tasks),
          core::time_field("longest_wait_ms", counts.longest_wait),
          core::number_field("held", counts.held_runs),
          core::number_field("spare_m", counts.spare.value()),
          core::number_field("spare_wanted_m", counts.spare_wanted.value()),
          core::number_field("spare_used_m", counts.spare_used.value()),
          core::number_field("free_m", counts.free.free.value()),
          core::number_field("wide_m", counts.free.request.value()),
          core::number_field("wide_percent", counts.free.index_percent()),
          core::text_field("held_back", workflow::to_string(counts.held_back)),
          core::text_field("longest",
                           counts.longest
                               ? workflow::to_string(counts.longest->stage)
                               : std::string()),
          core::text_field("longest_why",
                           counts.longest
                               ? workflow::to_string(counts.longest->why)
                               : std::string_view())}});
}

} // namespace turmericswitch::control
