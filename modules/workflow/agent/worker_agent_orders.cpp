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
                execute_orders(*orders);
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

void worker_agent::execute_orders(core::runtime_orders const& orders)
{
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
    if (m_stops.contains(start.run) || m_stopped_runs.contains(start.run) ||
        m_refused.contains(start.run) || m_unseen_ends.contains(start.run))
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
    if (!has_capacity())
    {
        drop_start(start.run);
        return;
    }
    auto order = start;
    order.lease_until = std::max(order.lease_until, m_lease_until);
    auto& pending = m_starts[start.run];
    pending.start = std::move(order);
    pending.payload = payload;
    pending.is_suspended = false;
    call_start(start.run);
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
    m_hooks.runtime.start(
        {m_profile->worker, open.start, open.payload, m_fencing_token},
        [this, run, epoch = m_epoch](start_outcome outcome)
        {
            --m_open_calls;
            if (is_current(epoch))
            {
                handle_start_outcome(run, outcome);
            }
        });
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
        emit_run_event(
            event_code::run_started,
            run,
            {number_field("tries", open->second.tries),
             number_field("token", m_fencing_token),
             time_field("lease_left_ms", m_lease_until - m_worker_clock)});
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
        if (!m_unanswered_starts.contains(run))
        {
            auto const tries = open->second.tries;
            m_starts.erase(open);
            mark_refused(run,
                         "the worker refused the start",
                         {number_field("tries", tries)});
            send_report();
            return;
        }
        break;
    case start_outcome::unknown:
        m_unanswered_starts.insert(run);
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
    // The worker may still execute an unanswered call. A stop makes it keep a
    // tombstone that rejects the start, after which the run can be reported as
    // refused.
    m_starts.erase(open);
    begin_stop(run);
}

void worker_agent::begin_stop(core::task_run const& run)
{
    m_starts.erase(run);
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
