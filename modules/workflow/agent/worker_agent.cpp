#include "workflow/agent/worker_agent.hpp"

#include "workflow/agent/fencing_token.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericswitch::workflow
{

using core::event_code;
using core::number_field;
using core::text_field;
using core::time_field;

namespace
{

/// Other ids under which the worker is asked at the same time.
constexpr std::size_t max_unconfirmed = 8;
constexpr std::size_t max_logged_unconfirmed = 64;

/// @return True if the leader must learn of the difference before the next
///         list of runs. The time that a draining worker stays always differs.
bool differs(core::worker_profile const& known, core::worker_profile now)
{
    now.stays = known.stays;
    return known != now;
}

core::event registration_ignored_event(core::worker_profile const& ignored,
                                       core::worker_profile const& known)
{
    return {event_code::registration_ignored,
            {text_field("worker", ignored.worker.value()),
             number_field("life", ignored.life.value()),
             number_field("known_life", known.life.value())}};
}

} // namespace

worker_agent::worker_agent(agent_options options, agent_hooks hooks)
    : m_options(std::move(options)), m_hooks(std::move(hooks))
{
    m_hooks.after(longest_call_delay, [this] { m_knows_all_starts = true; });
}

bool worker_agent::registered(core::worker_profile profile,
                              std::uint64_t sequence)
{
    if (m_stopped)
    {
        return false;
    }
    if (m_profile && profile.life == core::incarnation{} &&
        m_stated_life != core::incarnation{})
    {
        // A worker states its start time always or never.
        if (is_first_unconfirmed(profile))
        {
            m_hooks.on_event(registration_ignored_event(profile, *m_profile));
        }
        return false;
    }
    if (m_profile && m_profile->worker != profile.worker)
    {
        confirm_registration(std::move(profile), sequence);
        return false;
    }
    if (!m_profile || m_stated_life != profile.life)
    {
        if (is_earlier(profile))
        {
            m_hooks.on_event(registration_ignored_event(profile, *m_profile));
            return false;
        }
        begin_incarnation(std::move(profile));
        m_sequence = sequence;
        return true;
    }
    if (sequence > 0 && sequence < m_sequence)
    {
        m_hooks.on_event(registration_ignored_event(profile, *m_profile));
        return false;
    }
    m_sequence = std::max(m_sequence, sequence);
    profile.life = m_profile->life;
    bool const is_drain_changed = m_profile->draining != profile.draining;
    bool const is_changed = differs(*m_profile, profile);
    m_profile = std::move(profile);
    if (is_drain_changed)
    {
        m_hooks.on_event(
            {event_code::worker_drain_changed,
             {text_field("worker", m_profile->worker.value()),
              number_field("draining", m_profile->draining ? 1 : 0)}});
    }
    if (is_changed)
    {
        m_report_due = true;
        send_report();
    }
    return true;
}

void worker_agent::confirm_registration(core::worker_profile profile,
                                        std::uint64_t sequence)
{
    auto const worker = profile.worker;
    if (auto const open = m_unconfirmed.find(worker);
        open != m_unconfirmed.end())
    {
        auto& known = open->second;
        if (sequence >= known.sequence || profile.life != known.profile.life)
        {
            known = {std::move(profile), sequence};
        }
        return;
    }
    if (m_unconfirmed.size() >= max_unconfirmed)
    {
        return;
    }
    m_unconfirmed.emplace(
        worker, unconfirmed_registration{std::move(profile), sequence});
    // The token and the lease of the current incarnation stay as they are if it
    // is this one that answers.
    sync_call call;
    call.worker = worker;
    call.fencing_token = m_fencing_token;
    m_hooks.runtime.sync(std::move(call),
                         [this, worker, epoch = m_epoch](
                             std::optional<sync_result> const& answer)
                         {
                             if (is_current(epoch))
                             {
                                 handle_confirmation(worker, answer);
                             }
                         });
}

void worker_agent::handle_confirmation(core::worker_id const& worker,
                                       std::optional<sync_result> const& answer)
{
    auto open = m_unconfirmed.extract(worker);
    auto& [profile, sequence] = open.mapped();
    if (!answer || (answer->life && *answer->life != profile.life))
    {
        // The answer may be of the next incarnation under the known id.
        m_is_confirmed = false;
        log_unconfirmed(profile, answer);
        return;
    }
    begin_incarnation(std::move(profile));
    m_sequence = sequence;
}

void worker_agent::log_unconfirmed(core::worker_profile const& profile,
                                   std::optional<sync_result> const& answer)
{
    if (!is_first_unconfirmed(profile))
    {
        return;
    }
    auto const answered =
        answer ? answer->life.value_or(core::incarnation{}).value() : 0;
    m_hooks.on_event({event_code::worker_unconfirmed,
                      {text_field("worker", profile.worker.value()),
                       number_field("life", profile.life.value()),
                       text_field("known_worker", m_profile->worker.value()),
                       number_field("known_life", m_profile->life.value()),
                       number_field("answered_life", answered)}});
}

bool worker_agent::is_first_unconfirmed(core::worker_profile const& profile)
{
    return m_logged_unconfirmed.size() < max_logged_unconfirmed &&
           m_logged_unconfirmed.insert({profile.worker, profile.life}).second;
}

bool worker_agent::is_earlier(core::worker_profile const& profile) const
{
    // The number is a wall time. A lower one is of a later incarnation if the
    // clock was set back, but only a running incarnation answers calls.
    return m_profile && profile.life < m_stated_life &&
           m_successor != profile.life;
}

void worker_agent::begin_incarnation(core::worker_profile profile)
{
    ++m_epoch;
    m_stated_life = profile.life;
    if (m_profile && profile.life <= m_profile->life)
    {
        profile.life = core::incarnation(m_profile->life.value() + 1);
    }
    m_successor.reset();
    m_unconfirmed.clear();
    m_has_late_starts = m_profile.has_value();
    m_syncs_before = m_syncs_begun;
    m_is_confirmed = false;
    m_must_repeat_acknowledgement = false;
    m_is_known_from_start = m_profile.has_value();
    m_end_numbers = end_numbers(m_is_known_from_start);
    m_begun_runs.clear();
    m_unseen_ends.clear();
    m_sent_stops.clear();
    m_hooks.on_event({event_code::worker_registered,
                      {text_field("worker", profile.worker.value()),
                       number_field("life", profile.life.value()),
                       text_field("service", profile.service.value()),
                       text_field("zone", profile.zone.value()),
                       text_field("rack", profile.rack.value()),
                       number_field("cpu_m", profile.capacity.cpu.value())}});
    if (m_profile && m_profile->worker != profile.worker)
    {
        m_start_calls.clear();
    }
    if (m_profile)
    {
        m_witness.ended({m_profile->worker, m_profile->life},
                        !m_left && !m_profile->draining);
    }
    m_profile = std::move(profile);
    m_left = false;
    m_lease_until = {};
    m_acknowledged_ends = 0;
    m_committed_ends = 0;
    m_reported_clock = {};
    m_reported_ends = 0;
    m_worker_clock = {};
    m_runs.reset();
    m_has_skipped_ends = false;
    m_unread_rows_since.reset();
    m_logged_rows.clear();
    m_refused.clear();
    m_acknowledged_refusals.clear();
    m_reserved = {};
    m_starts.clear();
    m_first_sync_pause = {};
    m_unanswered_starts.clear();
    m_undecided_starts.clear();
    m_awaited_starts.clear();
    m_has_whole_list = false;
    m_stops.clear();
    m_stopped_runs.clear();
    m_syncing = false;
    m_silent = false;
    m_reporting = false;
    m_report_again = false;
    m_report_due = false;
    m_reporting_due = false;
    m_polling = false;
    m_received_batch = 0;
    send_report();
    // A sidecar that has just started gets the fencing token that sync calls
    // need with the grant for the first report.
    if (m_fencing_token > 0)
    {
        m_fencing_token = next_fencing_token(m_fencing_token);
        begin_first_sync();
    }
}

void worker_agent::unregistered(core::worker_id const& worker)
{
    if (!m_profile || m_profile->worker != worker || m_left)
    {
        return;
    }
    if (!m_profile->draining)
    {
        // A worker drains before it ends, so the notice is a late one of an
        // earlier incarnation. It names only the id.
        m_hooks.on_event({event_code::leave_notice_ignored,
                          {text_field("worker", worker.value()),
                           number_field("life", m_profile->life.value())}});
        return;
    }
    m_hooks.on_event(
        {event_code::worker_left, {text_field("worker", worker.value())}});
    m_left = true;
    send_report();
}

void worker_agent::stop()
{
    m_stopped = true;
    ++m_epoch;
}

std::size_t worker_agent::open_calls() const noexcept
{
    return m_open_calls;
}

core::worker_profile const* worker_agent::profile() const noexcept
{
    return m_profile ? &*m_profile : nullptr;
}

bool worker_agent::is_current(std::uint64_t epoch) const noexcept
{
    return !m_stopped && epoch == m_epoch;
}

void worker_agent::emit_run_event(event_code code,
                                  core::task_run const& run,
                                  std::vector<core::event_field> more) const
{
    std::vector<core::event_field> fields{
        text_field("task", core::to_string(run.task)),
        number_field("attempt", run.attempt.value()),
        text_field("worker", m_profile->worker.value())};
    std::move(more.begin(), more.end(), std::back_inserter(fields));
    m_hooks.on_event({code, std::move(fields)});
}

void worker_agent::set_leader_reached(bool is_reached)
{
    if (is_reached == m_leader_reached)
    {
        return;
    }
    m_leader_reached = is_reached;
    m_hooks.on_event(
        {is_reached ? event_code::control_regained : event_code::control_lost,
         {text_field("worker", m_profile->worker.value()),
          number_field("token", m_fencing_token),
          time_field("lease_left_ms", m_lease_until - m_worker_clock)}});
}

} // namespace turmericswitch::workflow
