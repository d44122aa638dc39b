#include "node/replica.hpp"

#include "core/results/last_reason.hpp"
#include "node/wall_clock.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace turmericswitch::control
{

namespace
{

core::command_reply make_reply(core::result_code code, std::string text)
{
    core::command_reply reply;
    reply.code = code;
    reply.text = std::move(text);
    return reply;
}

char const* name_of(consensus::member_role role)
{
    switch (role)
    {
    case consensus::member_role::follower:
        return "follower";
    case consensus::member_role::pre_candidate:
        return "pre-candidate";
    case consensus::member_role::candidate:
        return "candidate";
    case consensus::member_role::leader:
        return "leader";
    }
    return "unknown";
}

/// Time without a commit after which a leader with uncommitted entries logs
/// why, and the time between two such events.
constexpr core::duration stall_report_interval = std::chrono::seconds(1);

std::string milliseconds_text(core::duration time)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/// First and longest time between two attempts to use a disk that failed. The
/// longest is below the time within which a member must take part again after
/// its disk has recovered.
constexpr core::duration min_reopen_delay = std::chrono::milliseconds(250);
constexpr core::duration max_reopen_delay = std::chrono::seconds(2);
/// A disk that fails again within this time after it recovered is tried less
/// often, because each recovery reads the log and rebuilds the state.
constexpr core::duration stable_storage_time = std::chrono::seconds(10);

/// Time between two events on members that do not vote.
constexpr core::duration membership_report_interval = std::chrono::seconds(1);

/// @return One member of the events `commit_stalled` and
/// `members_without_vote`.
std::string describe(consensus::replication_status const& status,
                     core::time_point now)
{
    return std::to_string(status.member.value()) +
           ":answer_ms=" + milliseconds_text(now - status.last_answer) +
           ",match=" + std::to_string(status.match.value()) +
           ",in_flight=" + std::to_string(status.in_flight_bytes) +
           ",oldest_call_ms=" +
           milliseconds_text(now - status.oldest_call.value_or(now));
}

/// @return CPU time of this thread. Unlike elapsed time, it does not include
/// waiting for other processes.
core::duration thread_cpu_time()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<core::duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

replica::replica(process::event_loop& loop,
                 replica_parts parts,
                 replica_hooks hooks)
    : m_loop(loop),
      m_hooks(std::move(hooks)),
      m_options(parts.options),
      m_snapshot_interval(parts.snapshot_interval),
      m_hard_state(std::move(parts.hard_state)),
      m_state(std::move(parts.state)),
      m_node(parts.options,
             parts.recovered,
             core::seeded_random(parts.random_seed),
             process::event_loop::now()),
      m_applied(parts.recovered.snapshot.last_index),
      m_snapshot_index(parts.recovered.snapshot.last_index),
      m_writer(
          std::move(parts.log),
          std::move(parts.snapshots),
          [this](core::log_index index, core::term entry_term)
          {
              m_loop.post(
                  [this, index, entry_term] {
                      process_event(consensus::persisted{index, entry_term});
                  });
          },
          [this]
          {
              // Read here, because the last reason is kept per thread.
              m_loop.post([this, why = core::last_reason().text]
                          { fail_storage(why); });
          })
{
}

void replica::tick()
{
    reopen_storage_if_due();
    process_event(consensus::tick{});
    report_stall();
    report_members_without_vote();
    report_stalled_learners();
    snapshot_if_due();
}

void replica::report_stall()
{
    auto const stalled = commit_stall();
    auto const now = process::event_loop::now();
    if (stalled < stall_report_interval ||
        now - m_stall_reported < stall_report_interval)
    {
        return;
    }
    m_stall_reported = now;
    std::string members;
    for (auto const& status : m_node.replication())
    {
        members += (members.empty() ? "" : " ") + describe(status, now);
    }
    m_hooks.on_event({core::event_code::commit_stalled,
                      {core::number_field("pending", m_node.pending_entries()),
                       core::time_field("stalled_ms", stalled),
                       core::text_field("members", members)}});
}

void replica::report_members_without_vote()
{
    auto const now = process::event_loop::now();
    if (!m_is_leading || now < m_next_membership_report)
    {
        return;
    }
    m_next_membership_report = now + membership_report_interval;
    std::string members;
    for (auto const& status : m_node.replication())
    {
        if (!status.is_voter)
        {
            members += (members.empty() ? "" : " ") + describe(status, now);
        }
    }
    if (!members.empty())
    {
        m_hooks.on_event({core::event_code::members_without_vote,
                          {core::text_field("members", members)}});
    }
}

void replica::report_stalled_learners()
{
    auto const view = group_view();
    if (!view)
    {
        m_catch_up.reset();
        return;
    }
    auto const now = process::event_loop::now();
    for (auto const& learner : m_catch_up.check(*view, now))
    {
        m_hooks.on_event({core::event_code::catch_up_stalled,
                          {core::number_field("member", learner.member.value()),
                           core::number_field("match", learner.match.value()),
                           core::number_field("lag", learner.lag),
                           core::time_field("stalled_ms", learner.stalled),
                           core::time_field("answer_ms", learner.answer)}});
    }
}

std::optional<core::time_point> replica::last_leader_contact() const
{
    return m_node.last_leader_contact();
}

core::log_index replica::last_index() const
{
    return m_node.last_index();
}

void replica::receive(core::consensus_message const& message)
{
    process_event(consensus::message{message});
}

void replica::end_delivery(consensus::delivery_id id, bool answered)
{
    process_event(consensus::delivery_ended{id, answered});
}

void replica::propose(core::command_body body,
                      core::client_id client,
                      core::sequence_number sequence,
                      reply_hook done)
{
    if (!m_is_leading)
    {
        done(make_reply(core::result_code::not_leader,
                        "this control instance is not the leader"));
        return;
    }
    auto envelope = make_envelope(std::move(body));
    envelope.client = std::move(client);
    envelope.sequence = sequence;
    auto const id = next_ticket();
    m_proposals.emplace(id, std::move(done));
    m_proposal_batch.push_back({id, wire::encode(envelope)});
    if (m_proposal_batch.size() == 1)
    {
        // Runs after the tasks that are already queued, so that their
        // proposals share the batch and its sync.
        m_loop.post([this] { propose_pending(); });
    }
}

void replica::propose_pending()
{
    if (!m_proposal_batch.empty())
    {
        process_event(consensus::propose{std::exchange(m_proposal_batch, {})});
    }
}

core::time_point replica::cluster_now() const
{
    return m_cluster_time_at_election +
           (process::event_loop::now() - m_leading_since);
}

core::command_envelope replica::make_envelope(core::command_body body) const
{
    core::command_envelope envelope;
    envelope.cluster_time = cluster_now();
    envelope.wall = wall_now();
    envelope.body = std::move(body);
    return envelope;
}

void replica::read(read_hook done)
{
    if (!m_is_leading)
    {
        done(core::result_code::not_leader);
        return;
    }
    auto const id = next_ticket();
    m_reads.emplace(id, std::move(done));
    process_event(consensus::read_request{id});
}

void replica::change_membership(consensus::membership_change_kind kind,
                                core::group_member const& member,
                                reply_hook done)
{
    auto const id = next_ticket();
    m_proposals.emplace(id, std::move(done));
    process_event(consensus::change_membership{id, kind, member});
}

void replica::wait_until_written()
{
    m_writer.wait_until_written();
}

void replica::transfer_leadership()
{
    process_event(consensus::transfer_leadership{});
}

void replica::process_event(consensus::event input)
{
    // A hook may call this again while actions are executed. The new event is
    // queued, so that its actions do not run before earlier ones on which they
    // depend.
    m_events.push_back(std::move(input));
    if (m_is_processing_events)
    {
        return;
    }
    m_is_processing_events = true;
    while (!m_events.empty())
    {
        auto const next = std::move(m_events.front());
        m_events.pop_front();
        if (!handle_event(next))
        {
            fail_storage(core::last_reason().text);
        }
    }
    m_is_processing_events = false;
}

bool replica::handle_event(consensus::event const& input)
{
    for (auto const& output : m_node.handle(process::event_loop::now(), input))
    {
        if (!execute(output))
        {
            return false;
        }
    }
    return true;
}

void replica::fail_storage(std::string const& why)
{
    if (!m_storage_failure.empty())
    {
        return;
    }
    auto const now = process::event_loop::now();
    bool const fails_again = m_reopen_attempts > 0 &&
                             now - m_storage_recovered_at < stable_storage_time;
    m_reopen_delay = fails_again
                         ? std::min(2 * m_reopen_delay, max_reopen_delay)
                         : min_reopen_delay;
    m_storage_failure = why.empty() ? "unknown" : why;
    m_storage_failed_at = now;
    m_next_reopen = now + m_reopen_delay;
    m_reopen_attempts = 0;
    m_hooks.storage_failed(m_storage_failure);
    process_event(consensus::storage_failed{});
    // Posted, because the event may be queued behind the one that failed.
    m_loop.post([this] { answer_all_pending(); });
}

/// Answers what is left after the node stepped down: the rejections of the
/// event that failed were discarded with its other actions.
void replica::answer_all_pending()
{
    if (m_storage_failure.empty())
    {
        return;
    }
    for (auto const& [id, done] : std::exchange(m_proposals, {}))
    {
        done(make_reply(core::result_code::outcome_unknown,
                        "the disk of the leader failed"));
    }
    for (auto const& [id, done] : std::exchange(m_reads, {}))
    {
        done(core::result_code::not_leader);
    }
    for (auto const& item : std::exchange(m_confirmed_reads, {}))
    {
        item.done(core::result_code::not_leader);
    }
}

void replica::reopen_storage_if_due()
{
    auto const now = process::event_loop::now();
    if (m_storage_failure.empty() || m_is_reopening || now < m_next_reopen)
    {
        return;
    }
    ++m_reopen_attempts;
    m_next_reopen = now + m_reopen_delay;
    // Writes a file, so that a disk that is still full is found before the
    // member takes part.
    auto const hard = m_hard_state.reopen();
    if (!hard)
    {
        m_storage_failure = core::last_reason().text;
        return;
    }
    m_is_reopening = true;
    m_writer.reopen(
        [this, hard = *hard](std::optional<stored_log> found)
        {
            auto const log =
                std::make_shared<std::optional<stored_log>>(std::move(found));
            m_loop.post(
                [this, hard, log, why = core::last_reason().text]
                {
                    m_is_reopening = false;
                    if (!*log)
                    {
                        m_storage_failure = why;
                        return;
                    }
                    on_reopened(hard, std::move(**log));
                });
        });
}

void replica::on_reopened(core::hard_state const& hard, stored_log log)
{
    if (!restore_state(log.snapshot))
    {
        m_storage_failure = core::last_reason().text;
        return;
    }
    auto const now = process::event_loop::now();
    storage_recovery recovery;
    recovery.failed_for = now - m_storage_failed_at;
    recovery.attempts = m_reopen_attempts;
    recovery.applied_before = m_applied;
    m_applied = log.snapshot.metadata.last_index;
    m_snapshot_index = m_applied;
    m_snapshot_running = false;
    recovery.last_index =
        log.entries.empty() ? m_applied : log.entries.back().index;
    m_storage_failure.clear();
    m_storage_recovered_at = now;
    m_hooks.storage_recovered(recovery);
    process_event(consensus::storage_recovered{
        {hard,
         std::move(log.snapshot.metadata),
         std::make_shared<std::string const>(std::move(log.snapshot.data)),
         std::move(log.entries)}});
}

bool replica::restore_state(store::stored_snapshot const& snapshot)
{
    bool const is_empty = snapshot.metadata.last_index.value() == 0;
    return m_state.restore(is_empty ? cluster_state::state_machine().snapshot()
                                    : snapshot.data);
}

bool replica::execute(consensus::action const& output)
{
    using namespace consensus;
    if (auto const* sent = std::get_if<send>(&output))
    {
        m_hooks.transmit(*sent);
    }
    else if (auto const* hard_state = std::get_if<persist_hard_state>(&output))
    {
        return m_hard_state.save(hard_state->state);
    }
    else if (auto const* appended = std::get_if<append>(&output))
    {
        m_writer.append(appended->entries);
    }
    else if (auto const* truncation = std::get_if<truncate>(&output))
    {
        return m_writer.truncate(truncation->from);
    }
    else if (auto const* committed = std::get_if<consensus::apply>(&output))
    {
        apply_entries(*committed);
    }
    else if (auto const* snapshot = std::get_if<install_snapshot>(&output))
    {
        return install(*snapshot);
    }
    else if (auto const* ready = std::get_if<read_ready>(&output))
    {
        on_read_confirmed(ready->id, ready->index);
    }
    else if (auto const* rejection = std::get_if<rejected>(&output))
    {
        on_rejected(*rejection);
    }
    else if (auto const* role = std::get_if<role_changed>(&output))
    {
        on_role_changed(*role);
    }
    else if (auto const* ended = std::get_if<leadership_given_up>(&output))
    {
        m_hooks.on_event(
            {core::event_code::leadership_given_up,
             {core::number_field("successor", ended->successor.value()),
              core::time_field("stalled_ms", ended->stalled)}});
    }
    return true;
}

void replica::on_role_changed(consensus::role_changed const& change)
{
    m_is_raft_leader = change.role == consensus::member_role::leader;
    m_hooks.on_event(
        {core::event_code::role_changed,
         {core::text_field("role", name_of(change.role)),
          core::number_field("term", change.current_term.value()),
          core::text_field("leader",
                           change.leader
                               ? std::to_string(change.leader->value())
                               : std::string("unknown")),
          core::number_field("applied", m_applied.value())}});
    if (m_is_leading && !m_is_raft_leader)
    {
        m_is_leading = false;
        m_hooks.on_event(
            {core::event_code::leadership_ended,
             {core::number_field("term", change.current_term.value()),
              core::time_field("led_ms",
                               process::event_loop::now() - m_leading_since)}});
        m_hooks.leadership_ended();
    }
    m_hooks.group_changed();
}

void replica::apply_entries(consensus::apply const& output)
{
    for (auto const& item : output.entries)
    {
        m_applied = item.entry.index;
        if (item.entry.kind == core::entry_kind::command)
        {
            apply_command(item);
        }
        else if (item.id)
        {
            if (auto node = m_proposals.extract(*item.id))
            {
                node.mapped()(core::command_reply{});
            }
        }
        if (item.entry.kind == core::entry_kind::membership)
        {
            m_hooks.group_changed();
        }
        if (m_is_raft_leader && !m_is_leading &&
            item.entry.entry_term == m_node.current_term())
        {
            m_is_leading = true;
            m_cluster_time_at_election = m_state.now();
            m_leading_since = process::event_loop::now();
            m_hooks.on_event(
                {core::event_code::leadership_began,
                 {core::number_field("term", item.entry.entry_term.value()),
                  core::number_field("applied", m_applied.value())}});
            m_hooks.leadership_began();
        }
    }
    answer_applied_reads();
}

void replica::apply_command(consensus::applied_entry const& item)
{
    auto const envelope = wire::decode<core::command_envelope>(item.entry.data);
    core::command_reply reply;
    if (envelope)
    {
        reply = m_state.apply(item.entry.index, *envelope);
        m_hooks.applied(envelope->body, reply);
    }
    else
    {
        // Every member skips this entry, because all have the same bytes.
        m_hooks.on_event(
            {core::event_code::entry_skipped,
             {core::number_field("index", item.entry.index.value()),
              core::text_field("why", core::last_reason().text)}});
        reply = make_reply(core::result_code::message_malformed,
                           core::last_reason().text);
    }
    if (!item.id)
    {
        return;
    }
    if (auto node = m_proposals.extract(*item.id))
    {
        node.mapped()(reply);
    }
}

bool replica::install(consensus::install_snapshot const& output)
{
    if (!m_state.restore(output.data))
    {
        return false;
    }
    m_applied = output.metadata.last_index;
    m_snapshot_index = m_applied;
    m_hooks.on_event({core::event_code::snapshot_installed,
                      {core::number_field("index", m_applied.value())}});
    m_hooks.group_changed();
    return m_writer.install({output.metadata, output.data});
}

void replica::on_read_confirmed(consensus::ticket id, core::log_index index)
{
    if (auto node = m_reads.extract(id))
    {
        m_confirmed_reads.push_back({index, std::move(node.mapped())});
        answer_applied_reads();
    }
}

void replica::answer_applied_reads()
{
    std::vector<confirmed_read> due;
    std::erase_if(m_confirmed_reads,
                  [this, &due](confirmed_read& item)
                  {
                      bool const is_due = item.index <= m_applied;
                      if (is_due)
                      {
                          due.push_back(std::move(item));
                      }
                      return is_due;
                  });
    for (auto const& item : due)
    {
        item.done(core::result_code::ok);
    }
}

void replica::on_rejected(consensus::rejected const& output)
{
    if (auto read = m_reads.extract(output.id))
    {
        read.mapped()(output.code);
    }
    else if (auto proposal = m_proposals.extract(output.id))
    {
        proposal.mapped()(
            make_reply(output.code, "the command was not accepted"));
    }
}

void replica::snapshot_if_due()
{
    bool const is_due =
        m_applied.value() >= m_snapshot_index.value() + m_snapshot_interval;
    if (!is_due || m_snapshot_running || !m_storage_failure.empty())
    {
        return;
    }
    m_snapshot_running = true;
    auto const begun = thread_cpu_time();
    auto snapshot =
        std::make_shared<store::stored_snapshot const>(store::stored_snapshot{
            m_node.snapshot_metadata_at(m_applied), m_state.snapshot()});
    m_snapshot_cpu_time = thread_cpu_time() - begun;
    m_writer.save(
        snapshot,
        [this](std::shared_ptr<store::stored_snapshot const> const& saved)
        {
            m_loop.post(
                [this, saved]
                {
                    m_snapshot_running = false;
                    auto const index = saved->metadata.last_index;
                    if (index <= m_snapshot_index)
                    {
                        return;
                    }
                    m_snapshot_index = index;
                    process_event(consensus::snapshot_taken{
                        saved->metadata,
                        std::shared_ptr<std::string const>(saved,
                                                           &saved->data)});
                });
        });
}

cluster_state::state_machine const& replica::state() const noexcept
{
    return m_state;
}

void replica::observe_holds(cluster_state::hold_observer observer)
{
    m_state.observe_holds(std::move(observer));
}

bool replica::is_leading() const noexcept
{
    return m_is_leading;
}

core::term replica::current_term() const
{
    return m_node.current_term();
}

core::log_index replica::commit_index() const
{
    return m_node.commit_index();
}

core::log_index replica::applied_index() const noexcept
{
    return m_applied;
}

core::member_id replica::self() const noexcept
{
    return m_options.self;
}

core::group_membership const& replica::membership() const
{
    return m_node.membership();
}

std::vector<consensus::replication_status> replica::replication() const
{
    return m_node.replication();
}

std::optional<consensus::group_view> replica::group_view() const
{
    if (!m_is_leading)
    {
        return std::nullopt;
    }
    return consensus::group_view{m_options.self,
                                 m_node.membership(),
                                 m_node.last_index(),
                                 m_node.replication()};
}

core::duration replica::commit_stall() const
{
    auto const since = m_node.commit_pending_since();
    return since ? process::event_loop::now() - *since : core::duration();
}

std::optional<core::group_member> replica::leader() const
{
    auto const id = m_node.leader();
    for (auto const& member : m_node.membership().members)
    {
        if (id && member.id == *id)
        {
            return member;
        }
    }
    return std::nullopt;
}

std::string const& replica::storage_failure() const noexcept
{
    return m_storage_failure;
}

core::duration replica::snapshot_cpu_time() const noexcept
{
    return m_snapshot_cpu_time;
}

consensus::ticket replica::next_ticket()
{
    return consensus::ticket(++m_last_ticket);
}

} // namespace turmericswitch::control
