#ifndef TURMERICSWITCH_CONSENSUS_NODE_RAFT_NODE_HPP
#define TURMERICSWITCH_CONSENSUS_NODE_RAFT_NODE_HPP

#include "consensus/log/replicated_log.hpp"
#include "consensus/node/raft_events.hpp"
#include "consensus/node/raft_options.hpp"
#include "consensus/node/replication_status.hpp"
#include "consensus/replication/delivery_tracker.hpp"
#include "consensus/replication/early_appends.hpp"
#include "consensus/replication/follower_progress.hpp"
#include "consensus/replication/fragment_receiver.hpp"
#include "consensus/replication/read_queue.hpp"
#include "consensus/replication/snapshot_receiver.hpp"
#include "core/hooks/random_source.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmericswitch::consensus
{

/// One member of a Raft group as a deterministic state machine, one per control
/// instance. The driver passes events to `handle` and executes the returned
/// actions in order; raft_events.hpp states which ones must be durable first.
///
/// Messages and appends always come after the `persist_hard_state` that they
/// depend on. A leader counts itself towards the commit quorum of an entry only
/// after `persisted`.
class raft_node
{
public:
    /// @param recovered State loaded by the store. A node with an empty state
    /// is a learner that waits for a leader.
    /// @param random Randomizes the election timeouts.
    raft_node(raft_options options,
              recovered_state recovered,
              core::random_source random,
              core::time_point now);

    /// Handles one event.
    ///
    /// @param now Monotonic clock; an earlier time than in the last call is
    /// ignored.
    /// @return The actions to execute, in order.
    std::vector<action> handle(core::time_point now, event const& input);

    member_role role() const;
    core::term current_term() const;
    core::log_index commit_index() const;
    std::optional<core::member_id> leader() const;
    core::group_membership const& membership() const;

    /// @return When a message of a current leader arrived last; nothing if none
    ///         has arrived since the process started.
    std::optional<core::time_point> last_leader_contact() const;

    /// @return The index of the last entry in the log.
    core::log_index last_index() const;

    /// @return Since when this leader has uncommitted entries without
    /// committing one; nothing if all are committed or this node does not lead.
    std::optional<core::time_point> commit_pending_since() const;

    /// @return Entries of the log that are not known to be committed.
    std::uint64_t pending_entries() const;

    /// @return The other members, by ascending id; empty if this node does not
    /// lead.
    std::vector<replication_status> replication() const;

    /// @param index Last index that the snapshot covers. It must be applied and
    /// not older than the newest snapshot.
    /// @return The metadata of a snapshot of the state after `index`.
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
    void on(storage_recovered const& input);
    void on(delivery_ended const& input);

    void receive(core::vote_request const& body);
    void receive(core::vote_answer const& body);
    void receive(core::append_request const& body);
    void receive(core::append_answer const& body);
    void receive(core::snapshot_chunk const& body);
    void receive(core::snapshot_answer const& body);
    void receive(core::timeout_now const&);
    void receive(core::append_fragment const& body);
    void receive(core::fragment_answer const& body);

    // Shared
    template <typename Action>
    void emit(Action output);
    void flush_hard_state();
    template <typename Body>
    void send_to(core::member_id to, core::term message_term, Body body);
    template <typename Body>
    void send_to(core::member_id to, Body body);
    template <typename Body>
    delivery_id send_tracked(core::member_id to, Body body, std::size_t bytes);
    void append_entries(std::vector<core::log_entry> entries);
    void advance_commit_index(core::log_index index);
    void report_role();
    void reject(ticket id, core::result_code code);

    // Election
    void restart_election_timer();
    void become_follower(core::term term,
                         std::optional<core::member_id> leader,
                         core::result_code reason);
    void reject_pending(core::result_code reason);
    void start_pre_vote();
    void start_election(bool transfer);
    void become_leader();
    void request_votes(bool pre_vote, bool transfer);
    bool check_term();
    bool answer_stale_term();
    bool leader_is_alive() const;
    bool is_up_to_date(core::vote_request const& request) const;
    bool has_vote_quorum() const;

    // Follower
    void follow(core::member_id leader);
    void forget_leader();
    bool matches_log(core::append_request const& request) const;
    void take_append(core::append_request const& request);
    void store_append(core::append_request const& request);
    core::log_index conflict_hint(core::log_index previous_index) const;
    void store_new_entries(std::vector<core::log_entry> const& entries);
    void answer_append();
    void install(core::snapshot_metadata const& metadata, std::string data);

    // Leader
    void tick_leader(bool heartbeat_due);
    void replicate_to(core::member_id id, bool heartbeat);
    void send_heartbeat(core::member_id id, follower_progress const& progress);
    void resend_due(core::member_id id, follower_progress& progress);
    void send_new(core::member_id id, follower_progress& progress);
    log_range range_at(core::log_index index, std::uint64_t offset) const;
    delivery_id send_range(core::member_id id, log_range const& range);
    bool fits_transport(core::member_id id,
                        std::size_t bytes,
                        std::size_t delivered_bytes) const;
    void send_chunk(core::member_id id, follower_progress& progress);
    void replicate_all(bool heartbeat);
    void update_commit_index();
    void update_reads();
    void update_transfer();
    std::optional<core::member_id> most_advanced_voter() const;
    bool give_up_if_stalled();
    bool quorum_answered_recently() const;
    bool own_term_committed() const;

    // Membership
    std::vector<core::member_id> voters() const;
    bool is_voter(core::member_id id) const;
    bool may_campaign() const;
    bool is_quorum(std::size_t count) const;
    void sync_progress();
    std::optional<core::result_code>
    check_change(change_membership const& change) const;
    bool has_caught_up(follower_progress const& progress) const;
    core::group_membership
    membership_after(change_membership const& change) const;
    void step_down_if_removed();

    raft_options m_options;
    core::random_source m_random;
    core::time_point m_now;
    std::vector<action> m_actions;
    core::consensus_message const* m_message = nullptr;

    core::hard_state m_hard_state;
    bool m_hard_state_dirty = false;
    bool m_halted = false;
    replicated_log m_log;
    core::log_index m_persisted_index;
    core::log_index m_commit_index;
    std::optional<raft_snapshot> m_snapshot;

    member_role m_role = member_role::follower;
    std::optional<core::member_id> m_leader;
    std::optional<core::time_point> m_last_leader_contact;
    core::time_point m_election_deadline;
    std::set<core::member_id> m_votes;

    /// Last index known to match the log of the leader of this term.
    core::log_index m_verified_index;
    /// Newest heartbeat round received from the leader of this term.
    std::uint64_t m_leader_round = 0;
    snapshot_receiver m_receiver;
    fragment_receiver m_fragments;
    early_appends m_early;

    std::map<core::member_id, follower_progress> m_progress;
    delivery_tracker m_deliveries;
    std::map<core::log_index, ticket> m_tickets;
    read_queue m_reads;
    /// Number of the current heartbeat round, echoed by the followers.
    std::uint64_t m_round = 0;
    core::time_point m_next_heartbeat;
    /// Index of the first entry that this leader appended in its term.
    core::log_index m_term_start;
    std::size_t m_uncommitted_bytes = 0;
    core::time_point m_commit_pending_since;
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
    emit(send{{m_options.self, to, message_term, std::move(body)}, {}});
}

template <typename Body>
void raft_node::send_to(core::member_id to, Body body)
{
    send_to(to, m_hard_state.current_term, std::move(body));
}

template <typename Body>
delivery_id
raft_node::send_tracked(core::member_id to, Body body, std::size_t bytes)
{
    auto const delivery = m_deliveries.begin(to, bytes, m_now);
    emit(send{{m_options.self, to, m_hard_state.current_term, std::move(body)},
              delivery});
    return delivery;
}

} // namespace turmericswitch::consensus

#endif
