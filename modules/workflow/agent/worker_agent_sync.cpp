#include "workflow/agent/worker_agent.hpp"

#include <algorithm>
#include <utility>

// The agent's part that asks the worker for its lists.

namespace turmericswitch::workflow
{

using core::event_code;
using core::number_field;
using core::text_field;
using core::time_field;

namespace
{

/// A worker on the same instance answers within milliseconds, or seconds late.
constexpr core::duration first_sync_pause = std::chrono::milliseconds(25);

/// Calls beside the first one, so that a worker whose answers take longer than
/// the pause between them is not called without end.
constexpr int max_first_sync_repeats = 4;

/// How long a row that can't be read holds up conclusions from a list that
/// lacks a run, on the worker's clock. A row of another writer may stay for
/// good.
constexpr core::duration unread_row_wait = std::chrono::seconds(1);

/// The reasons come from a worker's answers, so their number has a bound.
constexpr std::size_t max_logged_rows = 32;

} // namespace

// Sync calls to the worker

void worker_agent::sync_worker(core::duration wait)
{
    if (m_syncing || m_left)
    {
        return;
    }
    m_syncing = true;
    m_current_sync = ++m_syncs_begun;
    m_oldest_sync = m_current_sync;
    sync_call call;
    call.worker = m_profile->worker;
    call.fencing_token = m_fencing_token;
    call.wait = wait;
    if (m_is_confirmed)
    {
        add_effects(call);
    }
    sync_answer answer{m_epoch, m_current_sync, call.acknowledged_ends, {}, {}};
    if (call.acknowledged_ends > 0)
    {
        call.wait = {};
        answer.wait_after = wait;
    }
    m_is_sync_waiting = call.wait > core::duration{};
    m_hooks.runtime.sync(
        std::move(call),
        [this, answer](std::optional<sync_result> result) mutable
        {
            answer.result = std::move(result);
            handle_sync_answer(std::move(answer));
        });
}

void worker_agent::request_list()
{
    // After the answer to a call that doesn't wait, the next one follows at
    // once.
    if (!m_runs || (m_syncing && !m_is_sync_waiting))
    {
        return;
    }
    m_syncing = false;
    sync_worker(core::duration{});
}

bool worker_agent::needs_list() const
{
    auto const is_open = [this](auto const& item)
    { return m_current_sync < item.second; };
    return std::any_of(
               m_undecided_starts.begin(), m_undecided_starts.end(), is_open) ||
           std::any_of(m_stopped_runs.begin(), m_stopped_runs.end(), is_open);
}

void worker_agent::begin_first_sync()
{
    sync_worker(core::duration{});
    repeat_first_sync(max_first_sync_repeats);
}

void worker_agent::retry_first_sync()
{
    m_first_sync_pause =
        std::clamp(m_first_sync_pause * 2, first_sync_pause, retry_pause);
    m_hooks.after(m_first_sync_pause,
                  [this, epoch = m_epoch]
                  {
                      if (is_current(epoch) && !m_syncing)
                      {
                          begin_first_sync();
                      }
                  });
}

void worker_agent::repeat_first_sync(int repeats)
{
    m_hooks.after(first_sync_pause,
                  [this, epoch = m_epoch, number = m_current_sync, repeats]
                  {
                      bool const is_unanswered = is_current(epoch) &&
                                                 m_syncing && !m_runs &&
                                                 number == m_current_sync;
                      if (!is_unanswered)
                      {
                          return;
                      }
                      // An answer to the earlier call is as good.
                      auto const oldest = m_oldest_sync;
                      m_syncing = false;
                      sync_worker(core::duration{});
                      m_oldest_sync = oldest;
                      if (repeats > 1)
                      {
                          repeat_first_sync(repeats - 1);
                      }
                  });
}

void worker_agent::add_effects(sync_call& call) const
{
    if (m_lease_until > core::duration{})
    {
        call.lease_until = m_lease_until;
    }
    if (lists_acknowledged_ends())
    {
        call.acknowledged_ends = m_acknowledged_ends;
    }
}

bool worker_agent::lists_acknowledged_ends() const
{
    return m_runs && std::any_of(m_runs->ended.begin(),
                                 m_runs->ended.end(),
                                 [this](core::ended_run const& each) {
                                     return each.number <= m_acknowledged_ends;
                                 });
}

void worker_agent::schedule_sync(core::duration delay, core::duration wait)
{
    m_hooks.after(delay,
                  [this, epoch = m_epoch, wait]
                  {
                      if (is_current(epoch))
                      {
                          sync_worker(wait);
                      }
                  });
}

void worker_agent::handle_sync_answer(sync_answer answer)
{
    if (!is_current(answer.epoch))
    {
        return;
    }
    auto& result = answer.result;
    bool const is_other_incarnation =
        result && result->life && *result->life != m_stated_life;
    if (is_other_incarnation)
    {
        // Also in the answer to a call that was given up: its connection is
        // open for the next call.
        m_is_confirmed = false;
    }
    bool const is_of_series =
        answer.number >= m_oldest_sync && answer.number <= m_current_sync;
    bool const is_repeated = answer.number != m_current_sync;
    bool const is_usable = result && !is_other_incarnation;
    if (!m_syncing || !is_of_series || (is_repeated && !is_usable))
    {
        return;
    }
    m_syncing = false;
    m_current_sync = answer.number;
    if (is_other_incarnation && m_successor != *result->life)
    {
        handle_successor(*result->life, answer.acknowledged);
    }
    if (!result || is_other_incarnation)
    {
        handle_silence();
        return;
    }
    bool const was_silent = std::exchange(m_silent, false);
    m_is_confirmed = true;
    bool const is_before_first_grant = !m_polling;
    if (!m_runs && is_before_first_grant)
    {
        give_up_report();
    }
    auto const before = std::exchange(m_runs, std::nullopt);
    handle_lists(std::move(*result));
    m_must_repeat_acknowledgement =
        answer.acknowledged > 0 && lists_acknowledged_ends();
    if (answer.wait_after > core::duration{} && before && !was_silent &&
        !has_news(*before))
    {
        sync_worker(answer.wait_after);
        return;
    }
    if (lists_only_committed_ends() && before && !was_silent &&
        !has_news(*before) && !is_regular_report_due())
    {
        // The worker answers at once as long as it lists an end.
        schedule_sync(unacknowledged_ends_pause, core::duration{});
        return;
    }
    send_report();
}

bool worker_agent::lists_only_committed_ends() const
{
    return !m_runs->ended.empty() &&
           std::all_of(m_runs->ended.begin(),
                       m_runs->ended.end(),
                       [this](core::ended_run const& each)
                       { return each.number <= m_committed_ends; });
}

bool worker_agent::is_regular_report_due() const
{
    return m_worker_clock - m_reported_clock >= m_options.sync_interval;
}

void worker_agent::handle_silence()
{
    m_is_confirmed = false;
    // The leader places nothing on a silent worker, and the report extends no
    // lease. A changed profile is worth another report, because orders that the
    // worker executes late must fit its capacity.
    bool const was_silent = std::exchange(m_silent, true);
    m_report_due = m_report_due || !was_silent;
    if (m_report_due && !m_left)
    {
        send_report();
    }
    if (m_runs)
    {
        schedule_sync(retry_pause, core::duration{});
    }
    else
    {
        retry_first_sync();
    }
}

void worker_agent::handle_lists(sync_result result)
{
    m_worker_clock = result.clock;
    m_runs = std::move(result.runs);
    m_has_skipped_ends =
        std::any_of(result.skipped.begin(),
                    result.skipped.end(),
                    [](skipped_row const& each) { return each.is_end; });
    log_skipped_rows(result.skipped);
    check_unread_rows(result.skipped);
    check_end_numbers();
    log_late_starts();
    close_executed_starts();
    m_witness.listed(m_worker_clock, m_runs->running);
    // Without the incarnation in the answer, the worker may have restarted. One
    // that drains may end its runs before it ends itself.
    bool const is_whole = result.skipped.empty() && !m_runs->may_have_more_ends;
    find_unseen_ends(result.life && is_whole && !m_profile->draining);
    m_has_whole_list = m_has_whole_list || is_whole;
    close_unlisted_stopped_runs();
    give_up_expired_starts();
    stop_unlisted_starts();
    call_waiting_starts();
}

bool worker_agent::has_news(core::worker_runs const& before) const
{
    auto const has_same_run = [](auto const& a, auto const& b)
    { return a.run == b.run; };
    return (!m_runs->ended.empty() && !lists_only_committed_ends()) ||
           m_runs->may_have_more_ends || m_has_skipped_ends ||
           !m_refused.empty() || !m_unseen_ends.empty() ||
           m_begun_runs.has_missing() || needs_list() || m_report_due ||
           !std::equal(m_runs->running.begin(),
                       m_runs->running.end(),
                       before.running.begin(),
                       before.running.end(),
                       has_same_run);
}

void worker_agent::find_unseen_ends(bool is_whole)
{
    for (auto const& run :
         m_begun_runs.listed(m_current_sync, *m_runs, is_whole))
    {
        if (m_stopped_runs.contains(run))
        {
            // Reported as refused: a confirmed stop has ended it. One that was
            // refused has not.
            continue;
        }
        mark_ended_unseen(run);
    }
}

void worker_agent::mark_ended_unseen(core::task_run const& run)
{
    emit_run_event(event_code::run_ended_unseen, run);
    m_starts.erase(run);
    m_stopped_runs.erase(run);
    m_begun_runs.remove(run);
    m_unseen_ends.insert(run);
}

void worker_agent::close_unlisted_stopped_runs()
{
    auto const is_listed = [](auto const& list, core::task_run const& run)
    {
        return std::any_of(list.begin(),
                           list.end(),
                           [&run](auto const& each)
                           { return each.run == run; });
    };
    std::vector<core::task_run> unlisted;
    std::erase_if(m_stopped_runs,
                  [&](auto const& item)
                  {
                      if (m_current_sync < item.second ||
                          is_listed(m_runs->running, item.first))
                      {
                          return false;
                      }
                      if (is_listed(m_runs->ended, item.first))
                      {
                          return true;
                      }
                      if (m_runs->may_have_more_ends || may_have_unread_run())
                      {
                          // The run or its end may be in a later list. The
                          // leader acknowledges the listed ends, so that
                          // follows.
                          return false;
                      }
                      unlisted.push_back(item.first);
                      return true;
                  });
    for (auto const& run : unlisted)
    {
        if (m_begun_runs.contains(run) && !m_sent_stops.contains(run))
        {
            // The worker has rejected another start because the run has ended,
            // so this holds also if rows of its lists could not be read.
            mark_ended_unseen(run);
            continue;
        }
        mark_refused(run,
                     "the worker does not list the run and will not start it");
    }
}

// Lists of runs

void worker_agent::handle_successor(core::incarnation life,
                                    std::uint64_t acknowledged)
{
    m_successor = life;
    m_hooks.on_event({event_code::worker_replaced,
                      {text_field("worker", m_profile->worker.value()),
                       number_field("life", life.value()),
                       number_field("known_life", m_profile->life.value()),
                       number_field("acknowledged", acknowledged)}});
}

void worker_agent::log_late_starts()
{
    if (!std::exchange(m_has_late_starts, false))
    {
        return;
    }
    m_hooks.on_event({event_code::incarnation_fenced,
                      {text_field("worker", m_profile->worker.value()),
                       number_field("life", m_profile->life.value()),
                       time_field("clock_ms", m_worker_clock),
                       number_field("calls", m_syncs_begun - m_syncs_before),
                       number_field("runs", m_runs->running.size())}});
    for (auto const& each : m_runs->running)
    {
        emit_run_event(event_code::late_start_executed, each.run);
    }
}

void worker_agent::log_skipped_rows(std::vector<skipped_row> const& rows)
{
    for (auto const& [is_end, why] : rows)
    {
        if (m_logged_rows.size() < max_logged_rows &&
            m_logged_rows.emplace(is_end, why).second)
        {
            m_hooks.on_event({event_code::run_row_skipped,
                              {text_field("worker", m_profile->worker.value()),
                               number_field("life", m_profile->life.value()),
                               text_field("list", is_end ? "ended" : "running"),
                               text_field("why", why)}});
        }
    }
}

void worker_agent::check_unread_rows(std::vector<skipped_row> const& rows)
{
    if (rows.empty())
    {
        m_unread_rows_since.reset();
    }
    else if (!m_unread_rows_since)
    {
        m_unread_rows_since = m_worker_clock;
    }
}

bool worker_agent::may_have_unread_run() const
{
    return m_unread_rows_since &&
           m_worker_clock - *m_unread_rows_since < unread_row_wait;
}

void worker_agent::check_end_numbers()
{
    for (auto const& [first, last] : m_end_numbers.listed(
             m_runs->ended, m_has_skipped_ends, m_worker_clock))
    {
        m_hooks.on_event({event_code::ends_dropped_unseen,
                          {text_field("worker", m_profile->worker.value()),
                           number_field("life", m_profile->life.value()),
                           number_field("first", first),
                           number_field("last", last)}});
    }
    // A run that is missing may be the one in the row, as with a cut list.
    m_runs->may_have_more_ends =
        m_runs->may_have_more_ends || m_end_numbers.has_unread_end();
}

void worker_agent::close_executed_starts()
{
    for (auto const& each : m_runs->running)
    {
        close_begun_start(each.run);
    }
    for (auto const& each : m_runs->ended)
    {
        close_begun_start(each.run);
        m_sent_stops.erase(each.run);
    }
}

void worker_agent::close_begun_start(core::task_run const& run)
{
    m_start_calls.listed(run);
    m_unanswered_starts.erase(run);
    m_undecided_starts.erase(run);
    m_awaited_starts.erase(run);
    auto const open = m_starts.find(run);
    if (open == m_starts.end())
    {
        return;
    }
    if (open->second.tries > 0)
    {
        emit_run_started(run, open->second.tries, "list");
    }
    // A later answer to an open call says nothing about the run.
    m_starts.erase(open);
}

void worker_agent::give_up_expired_starts()
{
    std::erase_if(m_awaited_starts,
                  [this](auto const& item)
                  {
                      auto const& [run, valid_until] = item;
                      bool const is_expired = m_worker_clock > valid_until;
                      if (is_expired)
                      {
                          m_undecided_starts.try_emplace(run, m_current_sync);
                      }
                      return is_expired;
                  });
}

void worker_agent::stop_unlisted_starts()
{
    if (may_have_unread_run())
    {
        return;
    }
    std::vector<core::task_run> unlisted;
    for (auto const& [run, first_sync] : m_undecided_starts)
    {
        if (first_sync <= m_current_sync)
        {
            unlisted.push_back(run);
        }
    }
    for (auto const& run : unlisted)
    {
        begin_stop(run);
    }
}

} // namespace turmericswitch::workflow
