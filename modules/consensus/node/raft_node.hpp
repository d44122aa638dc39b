#ifndef TURMERICSWITCH_CONSENSUS_NODE_RAFT_NODE_HPP
#define TURMERICSWITCH_CONSENSUS_NODE_RAFT_NODE_HPP

#include "consensus/log/replicated_log.hpp"
#include "consensus/node/raft_events.hpp"
#include "consensus/node/raft_options.hpp"
#include "consensus/replication/follower_progress.hpp"
#include "consensus/replication/read_queue.hpp"
#include "consensus/replication/snapshot_receiver.hpp"
#include "core/hooks/random_source.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmericswitch::consensus
{

/// One member of a Raft group as a deterministic state machine. Use one per
/// control instance; the shell feeds events and carries out the actions in
/// order (see raft_events.hpp for what must be durable when).
///
/// Sends and appends always follow the `persist_hard_state` that they depend
/// on. A leader counts its own entries only after `persisted`.
class raft_node
{
public:
    /// @param recovered What the store found; an empty state makes a learner
    /// that waits for a leader.
    raft_node(raft_options options,
              recovered_state recovered,
              core::random_source random,
              core::time_point now);

    /// @param now Never decreases.
    std::vector<action> handle(core::time_point now, event const& input);

    member_role role() const;
    core::term current_term() const;
    core::log_index commit_index() const;
    std::optional<core::member_id> leader() const;
    core::group_membership const& membership() const;

    /// @return When a member last answered this leader; nothing if this node
    ///         does not lead or the member is unknown.
    std::optional<core::time_point> last_answer(core::member_id id) const;

    /// Describes a snapshot of the state after `index`, which must be applied
    /// and not older than the newest snapshot.
    core::snapshot_metadata snapshot_metadata_at(core::log_index index) const;

private:
    void on(tick const&);
    void on(message const& input);
    void on(propose const& input);
    void on(persisted const& input);
    void on(read_request const& input);
    void on(change_membership const& input);
    void on(snapshot_taken const& input);
    void on(transfer_leadership const&);
    void on(storage_failed const&);

    void receive(core::vote_request const& body);
    void receive(core::vote_answer const& body);
    void receive(core::append_request const& body);
    void receive(core::append_answer const& body);
    void receive(core::snapshot_chunk const& body);
    void receive(core::snapshot_answer const& body);
    void receive(core::timeout_now const&);

    // Shared
    template <typename Action>
    void emit(Action output);
    void flush_hard_state();
    template <typename Body>
    void send_to(core::member_id to, core::term message_term, Body body);
    template <typename Body>
    void send_to(core::member_id to, Body body);
    void append_entries(std::vector<core::log_entry> entries);
    void advance_commit(core::log_index index);
    void report_role();
    void reject(ticket id, core::result_code code);

    // Election
    void restart_election_timer();
    void become_follower(core::term term,
                         std::optional<core::member_id> leader,
                         core::result_code reason);
    void drop_pending(core::result_code reason);
    void start_pre_vote();
    void start_election(bool transfer);
    void become_leader();
    void request_votes(bool pre_vote, bool transfer);
    bool accept_term();
    bool answer_stale_term();
    bool leader_is_alive() const;
    bool is_up_to_date(core::vote_request const& request) const;
    bool have_votes() const;

    // Follower
    void follow(core::member_id leader);
    core::log_index refusal_hint(core::log_index previous) const;
    void store_new_entries(std::vector<core::log_entry> const& entries);
    void answer_append();
    void install(core::snapshot_metadata const& metadata, std::string data);

    // Leader
    void lead(bool heartbeat_due);
    void replicate_to(core::member_id id, bool heartbeat);
    void send_append(core::member_id id,
                     follower_progress& progress,
                     std::vector<core::log_entry> entries);
    void send_chunk(core::member_id id, follower_progress& progress);
    void replicate_all(bool heartbeat);
    void update_commit();
    void update_reads();
    void update_transfer();
    bool quorum_answered_recently() const;
    bool own_term_committed() const;

    // Membership
    std::vector<core::member_id> voters() const;
    bool is_voter(core::member_id id) const;
    bool may_campaign() const;
    bool is_quorum(std::size_t count) const;
    void adopt_membership();
    std::optional<core::result_code>
    refusal_of(change_membership const& change) const;
    core::group_membership changed(change_membership const& change) const;
    void leave_if_removed();

    raft_options m_options;
    core::random_source m_random;
    core::time_point m_now;
    std::vector<action> m_actions;
    core::consensus_message const* m_message = nullptr;

    core::hard_state m_hard;
    bool m_hard_unsaved = false;
    bool m_halted = false;
    replicated_log m_log;
    core::log_index m_persisted;
    core::log_index m_commit;
    std::optional<offered_snapshot> m_snapshot;

    member_role m_role = member_role::follower;
    std::optional<core::member_id> m_leader;
    std::optional<core::time_point> m_leader_heard;
    core::time_point m_election_deadline;
    std::set<core::member_id> m_votes;

    /// Last index known to match the log of the leader of this term.
    core::log_index m_verified;
    std::uint64_t m_answer_round = 0;
    snapshot_receiver m_receiver;

    std::map<core::member_id, follower_progress> m_progress;
    std::map<core::log_index, ticket> m_tickets;
    read_queue m_reads;
    std::uint64_t m_round = 0;
    core::time_point m_next_heartbeat;
    core::log_index m_term_start;
    std::size_t m_uncommitted_bytes = 0;
    std::optional<core::member_id> m_transfer_target;
    bool m_transfer_sent = false;
    core::time_point m_transfer_deadline;
};

template <typename Action>
void raft_node::emit(Action output)
{
    flush_hard_state();
    m_actions.emplace_back(std::move(output));
}

template <typename Body>
void raft_node::send_to(core::member_id to, core::term message_term, Body body)
{
    emit(send{{m_options.self, to, message_term, std::move(body)}});
}

template <typename Body>
void raft_node::send_to(core::member_id to, Body body)
{
    send_to(to, m_hard.current_term, std::move(body));
}

} // namespace turmericswitch::consensus

#endif
