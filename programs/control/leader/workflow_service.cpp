#include "leader/workflow_service.hpp"

#include <chrono>
#include <utility>

namespace turmericswitch::control
{

namespace
{

/// Time between two plans without an event: finds lost workers and workflows
/// that have come due.
constexpr core::duration plan_interval = std::chrono::milliseconds(100);

core::wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now());
}

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

std::string text_of(core::task_run const& run)
{
    return "task " + core::to_string(run.task) + " attempt " +
           std::to_string(run.attempt.value());
}

} // namespace

workflow_service::workflow_service(replica& node,
                                   workflow::dispatch_options options,
                                   std::function<void(std::string const&)> log)
    : m_node(node),
      m_log(std::move(log)),
      m_dispatcher(node.state().workflows(),
                   options,
                   node.current_term().value(),
                   process::event_loop::now())
{
}

void workflow_service::end()
{
    m_ended = true;
    for (auto const& each : std::exchange(m_reports, {}))
    {
        each.done(not_leader<core::runtime_grant>());
    }
    for (auto const& each : std::exchange(m_polls, {}))
    {
        each.done(not_leader<core::runtime_orders>());
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
    }
    confirm_reports();
    confirm_queries();
}

void workflow_service::applied(core::command_body const& command)
{
    if (auto const* const submitted =
            std::get_if<core::submit_workflow>(&command))
    {
        log_accepted(*submitted);
    }
    if (std::holds_alternative<core::submit_workflow>(command) ||
        std::holds_alternative<core::cancel_workflow>(command))
    {
        plan();
        deliver_orders();
    }
}

void workflow_service::report(core::runtime_report report, grant_hook done)
{
    waiting_report waiting{
        report.profile.worker, report.profile.life, std::move(done)};
    if (!m_dispatcher.report(process::event_loop::now(), std::move(report)))
    {
        core::runtime_grant stale;
        stale.fencing_token = m_dispatcher.fencing_token();
        waiting.done(stale);
        return;
    }
    m_reports.push_back(std::move(waiting));
    plan();
    deliver_orders();
}

void workflow_service::plan()
{
    if (m_ended || m_is_planning)
    {
        m_plan_again = true;
        return;
    }
    m_plan_again = false;
    auto command = m_dispatcher.plan(process::event_loop::now(),
                                     wall_now(),
                                     m_node.state().config().in_force());
    if (!command)
    {
        return;
    }
    m_is_planning = true;
    auto copy = *command;
    // A command proposed after a report and committed in the own term proves
    // the leadership that the report's answer needs.
    m_node.propose(std::move(*command),
                   {},
                   {},
                   [self = shared_from_this(),
                    sent = std::move(copy),
                    confirmed = std::exchange(m_reports, {})](
                       core::command_reply const& reply)
                   {
                       self->m_is_planning = false;
                       if (self->m_ended || reply.code != core::result_code::ok)
                       {
                           for (auto const& each : confirmed)
                           {
                               each.done(not_leader<core::runtime_grant>());
                           }
                           return;
                       }
                       self->committed(sent, confirmed);
                   });
}

void workflow_service::committed(core::workflow_progress const& command,
                                 std::vector<waiting_report> const& confirmed)
{
    log_progress(command);
    m_dispatcher.applied(process::event_loop::now(), command);
    answer_or_keep(confirmed);
    // Ends may have made other stages ready.
    plan();
    deliver_orders();
}

void workflow_service::answer_or_keep(std::vector<waiting_report> reports)
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
                self->answer_or_keep(waiting);
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
    auto orders = m_dispatcher.take_orders(now, request.worker, request.life);
    if (!is_empty(orders))
    {
        done(std::move(orders));
        return;
    }
    // A sidecar has one poll; an earlier one was given up.
    std::erase_if(m_polls,
                  [&request](waiting_poll const& each)
                  {
                      return each.request.worker == request.worker &&
                             each.request.life == request.life;
                  });
    m_polls.push_back({request, now + request.max_wait, std::move(done)});
}

void workflow_service::deliver_orders()
{
    auto const now = process::event_loop::now();
    std::vector<waiting_poll> kept;
    for (auto& poll : std::exchange(m_polls, {}))
    {
        auto orders = m_dispatcher.take_orders(
            now, poll.request.worker, poll.request.life);
        if (is_empty(orders) && now < poll.until)
        {
            kept.push_back(std::move(poll));
            continue;
        }
        poll.done(std::move(orders));
    }
    m_polls = std::move(kept);
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
        answer.waiting = table.waiting(query.queue);
        return answer;
    }
    auto const* const found = table.find(query.queue, query.workflow);
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
    std::string text = "job " + command.workflow.value() + " of queue " +
                       command.queue.value() + " accepted:";
    for (auto const& stage : command.description.stages)
    {
        text += ' ' + std::to_string(stage.tasks) + 'x' +
                std::to_string(stage.need.cpu.value()) + "m/" +
                std::to_string(stage.need.memory.value() >> 20U) + "MiB/" +
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        stage.estimate)
                        .count()) +
                "ms" + (stage.behaviour.uses_spare_cpu ? "/spare" : "") +
                (stage.behaviour.long_running ? "/long" : "") +
                (stage.behaviour.target_latency > core::duration{}
                     ? "/target" +
                           std::to_string(
                               stage.behaviour.target_latency.count() / 1000)
                     : "") +
                (stage.behaviour.max_unavailable > 0
                     ? "/away" + std::to_string(stage.behaviour.max_unavailable)
                     : "") +
                (stage.constraints.max_per_worker > 0
                     ? "/per" + std::to_string(stage.constraints.max_per_worker)
                     : "") +
                "/" + stage.behaviour.image;
    }
    m_log(text);
}

void workflow_service::log_progress(
    core::workflow_progress const& command) const
{
    for (auto const& end : command.ends)
    {
        m_log(text_of(end.run) + " on " + end.worker.value() +
              " ended: " + std::string(core::to_string(end.how)));
    }
    for (auto const& placement : command.placements)
    {
        m_log(text_of(placement.run) + " placed on " +
              placement.worker.value());
    }
}

} // namespace turmericswitch::control
