#include "workflow/agent/worker_agent.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

// The agent's part that carries out the leader's orders.

namespace turmericswitch::workflow
{

using core::event_code;
using core::number_field;
using core::text_field;
using core::time_field;

namespace
{

/// How long the leader may delay its answer to a poll until orders are due.
constexpr core::duration orders_wait = std::chrono::seconds(5);

/// Calls for one start or stop before the agent gives up.
constexpr int max_tries = 3;

} // namespace

void worker_agent::poll_orders()
{
    m_polling = true;
    auto const number = ++m_polls_begun;
    m_hooks.leader.poll_orders(
        {m_profile->worker,
         m_profile->life,
         m_options.life,
         orders_wait,
         m_received_batch},
        [this, epoch = m_epoch, number](
            std::optional<core::runtime_orders> orders)
        {
            // A given-up poll may still bring orders of the leader that has
            // been replaced; the new one places the tasks again.
            if (!is_current(epoch) || number != m_polls_begun || m_left)
            {
                return;
            }
            if (orders && orders->fencing_token >= m_fencing_token)
            {
                m_fencing_token = orders->fencing_token;
                if (orders->batch > 0)
                {
                    m_received_batch = orders->batch;
                    m_reserved = orders->reserved;
                }
                execute_orders(*orders, number);
                poll_orders();
                return;
            }
            m_hooks.after(retry_pause,
                          [this, epoch, number]
                          {
                              if (is_current(epoch) && number == m_polls_begun)
                              {
                                  poll_orders();
                                  // A new leader knows the worker only after
                                  // a report.
                                  if (!m_reporting)
                                  {
                                      report_again();
                                  }
                              }
                          });
        });
}

void worker_agent::execute_orders(core::runtime_orders const& orders,
                                  std::uint64_t poll)
{
    // The leader has made the orders after it committed these refusals.
    std::erase_if(m_acknowledged_refusals,
                  [poll](auto const& item) { return item.second < poll; });
    for (auto const& run : orders.stops)
    {
        begin_stop(run);
    }
    for (auto const& group : orders.starts)
    {
        for (auto const& start : group.starts)
        {
            begin_start(start, group.payload);
        }
    }
    for (auto const& pace : orders.paces)
    {
        call_pace(pace);
    }
}

void worker_agent::begin_start(core::run_start const& start,
                               std::string const& payload)
{
    bool const is_call_open =
        start.single_call && m_start_calls.has_open(start.run.task);
    if (is_call_open || needs_no_start(start.run))
    {
        return;
    }
    // The leader repeats the order. A worker that restarts after a call must
    // not get the start in its next incarnation.
    auto const open = m_starts.find(start.run);
    bool const is_open = open != m_starts.end();
    if (m_silent || (is_open && !open->second.is_suspended))
    {
        return;
    }
    auto order = start;
    order.lease_until = std::max(order.lease_until, m_lease_until);
    auto& pending = m_starts[start.run];
    pending.start = std::move(order);
    pending.payload = payload;
    // The run may have been begun by the sidecar before this one.
    pending.is_suspended = !m_runs;
    if (!pending.is_suspended)
    {
        try_start(start.run);
    }
}

void worker_agent::try_start(core::task_run const& run)
{
    if (has_capacity())
    {
        call_start(run);
        return;
    }
    m_starts.erase(run);
    drop_start(run);
}

bool worker_agent::needs_no_start(core::task_run const& run) const
{
    // Only the worker can tell whether a begun run that it lists no more has
    // ended.
    bool const is_running =
        m_begun_runs.contains(run) && !m_begun_runs.is_unlisted(run);
    return is_running || is_listed_as_ended(run) || m_stops.contains(run) ||
           m_stopped_runs.contains(run) || m_undecided_starts.contains(run) ||
           m_refused.contains(run) || m_acknowledged_refusals.contains(run) ||
           m_unseen_ends.contains(run);
}

void worker_agent::call_waiting_starts()
{
    std::vector<core::task_run> waiting;
    for (auto const& [run, start] : m_starts)
    {
        if (start.is_suspended && start.tries == 0)
        {
            waiting.push_back(run);
        }
    }
    for (auto const& run : waiting)
    {
        m_starts.at(run).is_suspended = false;
        try_start(run);
    }
}

bool worker_agent::is_listed_as_ended(core::task_run const& run) const
{
    return m_runs && std::any_of(m_runs->ended.begin(),
                                 m_runs->ended.end(),
                                 [&run](core::ended_run const& each)
                                 { return each.run == run; });
}

bool worker_agent::has_capacity() const
{
    return core::fits_in(m_reserved, m_profile->capacity);
}

void worker_agent::drop_start(core::task_run const& run)
{
    if (m_begun_runs.contains(run))
    {
        return;
    }
    emit_run_event(event_code::start_dropped,
                   run,
                   {text_field("why",
                               "the worker's capacity is below what the "
                               "leader has placed there"),
                    number_field("cpu_m", m_profile->capacity.cpu.value()),
                    number_field("reserved_m", m_reserved.cpu.value())});
    begin_stop(run);
}

void worker_agent::call_start(core::task_run const& run)
{
    auto& open = m_starts.at(run);
    ++open.tries;
    ++m_open_calls;
    auto const call = m_start_calls.called(run, open.start.single_call);
    m_hooks.runtime.start(
        {m_profile->worker, open.start, open.payload, m_fencing_token},
        [this, run, call, epoch = m_epoch](start_outcome outcome)
        {
            --m_open_calls;
            resolve_start_call(run, call, outcome);
            if (is_current(epoch))
            {
                handle_start_outcome(run, outcome);
            }
        });
}

void worker_agent::resolve_start_call(core::task_run const& run,
                                      start_calls::call_number call,
                                      start_outcome outcome)
{
    if (outcome != start_outcome::unknown)
    {
        m_start_calls.resolved(run, call);
        return;
    }
    m_hooks.after(longest_call_delay,
                  [this, run, call]
                  {
                      if (m_start_calls.resolved(run, call))
                      {
                          give_up_start(run);
                          report_resolved_starts();
                      }
                  });
}

void worker_agent::give_up_start(core::task_run const& run)
{
    if (m_awaited_starts.erase(run) > 0)
    {
        decide_by_next_list(run);
    }
}

void worker_agent::decide_by_next_list(core::task_run const& run)
{
    m_undecided_starts.try_emplace(run, m_syncs_begun + 1);
    request_list();
}

void worker_agent::report_resolved_starts()
{
    if (!m_profile || m_stopped || m_left)
    {
        return;
    }
    m_report_due = true;
    if (m_silent)
    {
        // No list follows that would bring a report.
        send_report();
    }
}

void worker_agent::handle_start_outcome(core::task_run const& run,
                                        start_outcome outcome)
{
    auto const open = m_starts.find(run);
    if (open == m_starts.end())
    {
        return;
    }
    switch (outcome)
    {
    case start_outcome::started:
        emit_run_started(run, open->second.tries, "answer");
        m_starts.erase(open);
        m_unanswered_starts.erase(run);
        m_begun_runs.add(run, m_syncs_begun + 1);
        return;
    case start_outcome::stale_token:
    case start_outcome::wrong_incarnation:
        emit_run_event(
            event_code::start_dropped,
            run,
            {text_field("why",
                        outcome == start_outcome::stale_token
                            ? "the worker has seen a higher fencing token"
                            : "the worker has restarted")});
        m_starts.erase(open);
        return;
    case start_outcome::already_ended:
        m_starts.erase(open);
        m_unanswered_starts.erase(run);
        if (m_is_known_from_start && !m_sent_stops.contains(run))
        {
            // There is no tombstone that the worker could mean.
            m_begun_runs.add(run, m_syncs_begun + 1);
        }
        m_stopped_runs[run] = m_syncs_begun + 1;
        return;
    case start_outcome::refused:
        break;
    case start_outcome::unknown:
        m_unanswered_starts.insert(run);
        if (open->second.start.single_call)
        {
            emit_run_event(event_code::start_unanswered,
                           run,
                           {number_field("tries", open->second.tries)});
            m_awaited_starts.emplace(run, open->second.start.lease_until);
            m_starts.erase(open);
            request_list();
            return;
        }
        if (m_silent)
        {
            // The next try could reach the worker's next incarnation.
            open->second.is_suspended = true;
            return;
        }
        if (open->second.tries < max_tries && has_capacity())
        {
            emit_run_event(event_code::start_unanswered,
                           run,
                           {number_field("tries", open->second.tries)});
            call_start(run);
            return;
        }
        break;
    }
    auto const tries = open->second.tries;
    m_starts.erase(open);
    handle_failed_start(run, tries);
}

void worker_agent::handle_failed_start(core::task_run const& run, int tries)
{
    if (m_begun_runs.contains(run))
    {
        return;
    }
    if (is_refusal_certain(run))
    {
        mark_refused(run,
                     "the worker refused the start",
                     {number_field("tries", tries)});
        send_report();
        return;
    }
    decide_by_next_list(run);
}

bool worker_agent::is_refusal_certain(core::task_run const& run) const
{
    return m_has_whole_list && !m_unanswered_starts.contains(run) &&
           !m_begun_runs.contains(run);
}

void worker_agent::emit_run_started(core::task_run const& run,
                                    int tries,
                                    char const* source) const
{
    emit_run_event(event_code::run_started,
                   run,
                   {number_field("tries", tries),
                    number_field("token", m_fencing_token),
                    time_field("lease_left_ms", m_lease_until - m_worker_clock),
                    text_field("source", source)});
}

void worker_agent::begin_stop(core::task_run const& run)
{
    if (auto const open = m_starts.find(run); open != m_starts.end())
    {
        // Its answer comes after the agent has forgotten the order.
        bool const is_called = open->second.tries > 0;
        m_starts.erase(open);
        if (is_called)
        {
            m_unanswered_starts.insert(run);
        }
    }
    m_undecided_starts.erase(run);
    m_awaited_starts.erase(run);
    if (m_stops.try_emplace(run, 0).second)
    {
        m_sent_stops.insert(run);
        emit_run_event(event_code::stop_sent, run);
        call_stop(run);
    }
}

void worker_agent::call_stop(core::task_run const& run)
{
    ++m_stops.at(run);
    ++m_open_calls;
    m_hooks.runtime.stop({m_profile->worker, run, m_fencing_token},
                         [this, run, epoch = m_epoch](bool is_done)
                         {
                             --m_open_calls;
                             auto const open = m_stops.find(run);
                             if (!is_current(epoch) || open == m_stops.end())
                             {
                                 return;
                             }
                             if (!is_done && open->second < max_tries)
                             {
                                 call_stop(run);
                                 return;
                             }
                             m_stops.erase(open);
                             if (is_done)
                             {
                                 m_unanswered_starts.erase(run);
                                 m_stopped_runs[run] = m_syncs_begun + 1;
                                 request_list();
                             }
                         });
}

void worker_agent::call_pace(core::run_pace const& pace)
{
    ++m_open_calls;
    emit_run_event(event_code::pace_sent,
                   pace.run,
                   {number_field("percent", pace.percent)});
    m_hooks.runtime.pace({m_profile->worker, pace, m_fencing_token},
                         [this, pace](bool is_done)
                         {
                             --m_open_calls;
                             if (!is_done)
                             {
                                 emit_run_event(
                                     event_code::pace_unacknowledged,
                                     pace.run,
                                     {number_field("percent", pace.percent)});
                             }
                         });
}

void worker_agent::mark_refused(core::task_run const& run,
                                char const* why,
                                std::vector<core::event_field> more)
{
    std::vector<core::event_field> fields{
        text_field("why", why),
        number_field("begun", m_begun_runs.contains(run) ? 1 : 0),
        number_field("listed_before", m_runs ? 1 : 0)};
    std::move(more.begin(), more.end(), std::back_inserter(fields));
    emit_run_event(event_code::run_refused, run, std::move(fields));
    m_refused.insert(run);
    m_sent_stops.erase(run);
}

} // namespace turmericswitch::workflow
