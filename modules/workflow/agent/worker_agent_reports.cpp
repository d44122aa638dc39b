#include "workflow/agent/worker_agent.hpp"

#include <algorithm>
#include <utility>

// The agent's part that reports to the leader and handles its grants.

namespace turmericswitch::workflow
{

void worker_agent::send_report()
{
    if (m_reporting)
    {
        m_report_again = true;
        return;
    }
    m_reporting = true;
    m_report_again = false;
    m_reporting_due = std::exchange(m_report_due, false);
    core::runtime_report report;
    report.host = m_options.host;
    report.profile = *m_profile;
    report.sidecar = m_options.life;
    report.clock = m_worker_clock;
    m_reported_clock = m_worker_clock;
    report.runs = m_runs;
    m_reported_ends = m_end_numbers.readable();
    report.refused.assign(m_refused.begin(), m_refused.end());
    report.refused_under = m_refused.empty() ? 0 : m_fencing_token;
    report.left = m_left;
    report.silent = m_silent;
    report.crashed = m_witness.crashes();
    report.ended_unseen.assign(m_unseen_ends.begin(), m_unseen_ends.end());
    report.unresolved = {m_start_calls.unresolved(), m_knows_all_starts};
    report.order_version = core::current_order_version;
    m_hooks.leader.report(std::move(report),
                          [this, epoch = m_epoch, number = ++m_reports_begun](
                              std::optional<core::runtime_grant> grant)
                          { handle_grant(epoch, number, std::move(grant)); });
}

void worker_agent::give_up_report()
{
    m_report_due = m_report_due || (m_reporting && m_reporting_due);
    m_reporting = false;
    m_reporting_due = false;
    ++m_reports_begun;
}

void worker_agent::report_again()
{
    // The leader can't extend the lease from a report with an old reading of
    // the worker's clock, so a sync call comes first.
    if (m_runs && !m_left && !m_syncing)
    {
        sync_worker(core::duration{});
        return;
    }
    send_report();
}

void worker_agent::leader_changed(core::duration delay)
{
    if (m_stopped || !m_profile)
    {
        return;
    }
    give_up_report();
    // Until the delay is over, nothing else reports.
    m_reporting = true;
    m_syncing = false;
    m_polling = false;
    ++m_polls_begun;
    m_hooks.after(delay,
                  [this, epoch = m_epoch, number = m_reports_begun]
                  {
                      if (is_current(epoch) && number == m_reports_begun)
                      {
                          m_reporting = false;
                          report_to_new_leader();
                      }
                  });
}

void worker_agent::report_to_new_leader()
{
    // A silent worker may not answer, and the leader must know that it exists.
    if (!m_runs || m_silent || m_left)
    {
        send_report();
        return;
    }
    // A sync call that began during the delay may wait for an end.
    m_syncing = false;
    sync_worker(core::duration{});
}

void worker_agent::handle_grant(std::uint64_t epoch,
                                std::uint64_t number,
                                std::optional<core::runtime_grant> grant)
{
    if (!is_current(epoch) || number != m_reports_begun)
    {
        return;
    }
    m_reporting = false;
    set_leader_reached(grant.has_value());
    if (!grant || grant->fencing_token < m_fencing_token)
    {
        m_report_due = m_report_due || m_reporting_due;
        m_hooks.after(retry_pause,
                      [this, epoch]
                      {
                          if (is_current(epoch) && !m_reporting)
                          {
                              report_again();
                          }
                      });
        return;
    }
    apply_grant(*grant);
    if (m_left)
    {
        // The answered report may predate the worker's notice that it leaves.
        if (m_report_again)
        {
            send_report();
        }
        return;
    }
    if (!m_polling)
    {
        poll_orders();
    }
    if (m_report_again)
    {
        report_again();
    }
    else if (m_has_skipped_ends)
    {
        schedule_sync(retry_pause, core::duration{});
    }
    else if (has_unacknowledged_ends() || m_must_repeat_acknowledgement)
    {
        schedule_sync(unacknowledged_ends_pause, core::duration{});
    }
    else
    {
        // The leader places nothing on a worker until a report has its runs, or
        // while it is silent, and may need the rest of a cut list or the list
        // that decides about a missing run, so these sync calls must not wait.
        bool const may_wait = m_runs && !m_silent &&
                              !m_runs->may_have_more_ends &&
                              !m_begun_runs.has_missing() && !needs_list();
        sync_worker(may_wait ? m_options.sync_interval : core::duration{});
    }
}

void worker_agent::apply_grant(core::runtime_grant const& grant)
{
    // The leader counts refusals only under the token that it grants.
    m_report_again =
        m_report_again ||
        (grant.fencing_token != m_fencing_token && !m_refused.empty());
    m_fencing_token = grant.fencing_token;
    m_lease_until = std::max(m_lease_until, grant.lease_until);
    // The leader doesn't know of rows that could not be read.
    m_acknowledged_ends =
        std::max(m_acknowledged_ends,
                 std::min(grant.acknowledged_ends, m_reported_ends));
    m_committed_ends = std::max(
        m_committed_ends, std::min(grant.committed_ends, m_reported_ends));
    m_end_numbers.acknowledged(m_acknowledged_ends);
    m_witness.acknowledge(grant.acknowledged_crashes);
    for (auto const& run : grant.acknowledged_refusals)
    {
        if (m_refused.erase(run) > 0)
        {
            // No tombstone rejects the start of an order that is under way.
            m_acknowledged_refusals.emplace(run, m_polls_begun);
        }
        m_unseen_ends.erase(run);
    }
}

bool worker_agent::has_unacknowledged_ends() const
{
    return m_runs && std::any_of(m_runs->ended.begin(),
                                 m_runs->ended.end(),
                                 [this](core::ended_run const& each)
                                 { return each.number > m_acknowledged_ends; });
}

} // namespace turmericswitch::workflow
