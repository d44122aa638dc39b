#ifndef TURMERICSWITCH_CONTROL_NODE_REPLICA_HPP
#define TURMERICSWITCH_CONTROL_NODE_REPLICA_HPP

#include "cluster_state/machine/state_machine.hpp"
#include "consensus/node/raft_node.hpp"
#include "core/events/event.hpp"
#include "node/log_writer.hpp"
#include "process/loop/event_loop.hpp"
#include "store/state/hard_state_store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmericswitch::control
{

/// What the rest of the process does for the replica. All are called on the
/// event loop's thread.
struct replica_hooks
{
    std::function<void(core::consensus_message const&)> transmit;
    /// The own leadership has begun: all earlier entries are applied.
    std::function<void()> leadership_began;
    std::function<void()> leadership_ended;
    /// A command was applied, on every member.
    std::function<void(core::command_body const&, core::command_reply const&)>
        applied;
    /// Leader or membership changed.
    std::function<void()> group_changed;
    core::event_hook on_event;
    /// A write or sync failed; the member is silent from now on.
    std::function<void(std::string const&)> storage_failed;
};

/// What was found on disk when the process started.
struct replica_parts
{
    consensus::raft_options options;
    consensus::recovered_state recovered;
    store::hard_state_store hard_state;
    store::log_store log;
    store::snapshot_store snapshots;
    cluster_state::state_machine state;
    /// Peers to answer while the log names no members yet.
    core::group_membership contacts;
    /// Entries applied between two snapshots.
    std::uint64_t snapshot_interval = 10'000;
    std::uint64_t random_seed = 0;
};

/// One member of the control group: consensus, its disk and the replicated
/// state. Use it only on the thread of its event loop.
class replica
{
public:
    using reply_hook = std::function<void(core::command_reply const&)>;
    /// `ok` when the state is current, else why it can't be read.
    using read_hook = std::function<void(core::result_code)>;

    replica(process::event_loop& loop,
            replica_parts parts,
            replica_hooks hooks);

    void tick();
    void receive(core::consensus_message const& message);

    /// Commits a command.
    ///
    /// @param client Empty for commands that need no session.
    /// @param done Gets the reply, or `not_leader`, `no_quorum` or
    /// `outcome_unknown`.
    void propose(core::command_body body,
                 core::client_id client,
                 core::sequence_number sequence,
                 reply_hook done);

    /// Confirms leadership with a quorum, then lets the caller read.
    void read(read_hook done);

    void change_membership(consensus::membership_change_kind kind,
                           core::group_member const& member,
                           reply_hook done);

    /// Waits for the log writer, whose results are then posted to the loop.
    /// For tests that run the loop step by step.
    void wait_until_written();

    /// Hands leadership over before a planned stop.
    void transfer_leadership();

    cluster_state::state_machine const& state() const noexcept;
    void observe_holds(cluster_state::hold_observer observer);

    /// @return The leader's reading of the group's clock, which goes on where
    ///         the last leader's commands left it.
    core::time_point cluster_now() const;

    /// @return True between `leadership_began` and `leadership_ended`.
    bool is_leading() const noexcept;
    core::term current_term() const;
    core::log_index commit_index() const;
    core::log_index applied_index() const noexcept;
    core::member_id self() const noexcept;
    core::group_membership const& membership() const;
    /// @return When a member last answered, if this instance leads.
    std::optional<core::time_point> last_answer(core::member_id id) const;
    /// @return The leader's entry in the membership, if one is known.
    std::optional<core::group_member> leader() const;
    /// @return True after a write or sync failed; the member stays silent.
    bool storage_has_failed() const noexcept;
    /// @return Processor time for which the last snapshot held the event loop.
    core::duration snapshot_cpu_time() const noexcept;

private:
    void process_event(consensus::event input);
    bool handle_event(consensus::event const& input);
    bool execute(consensus::action const& output);
    void on_role_changed(consensus::role_changed const& change);
    void apply_entries(consensus::apply const& output);
    void apply_command(consensus::applied_entry const& item);
    bool install(consensus::install_snapshot const& output);
    void on_read_confirmed(consensus::ticket id, core::log_index index);
    void answer_applied_reads();
    void on_rejected(consensus::rejected const& output);
    void snapshot_if_due();
    void propose_pending();
    void fail_storage(std::string const& why);
    core::command_envelope make_envelope(core::command_body body) const;
    consensus::ticket next_ticket();

    struct confirmed_read
    {
        core::log_index index;
        read_hook done;
    };

    process::event_loop& m_loop;
    replica_hooks m_hooks;
    consensus::raft_options m_options;
    std::uint64_t m_snapshot_interval;
    store::hard_state_store m_hard_state;
    cluster_state::state_machine m_state;
    consensus::raft_node m_node;
    core::log_index m_applied;
    core::log_index m_snapshot_index;
    std::deque<consensus::event> m_events;
    bool m_is_processing_events = false;
    bool m_snapshot_running = false;
    core::duration m_snapshot_cpu_time{};
    bool m_storage_failed = false;
    bool m_is_raft_leader = false;
    bool m_is_leading = false;
    /// Cluster time and own clock when the leadership began.
    core::time_point m_cluster_time_at_election;
    core::time_point m_leading_since;
    std::uint64_t m_last_ticket = 0;
    std::vector<consensus::proposal> m_proposal_batch;
    std::map<consensus::ticket, reply_hook> m_proposals;
    std::map<consensus::ticket, read_hook> m_reads;
    std::vector<confirmed_read> m_confirmed_reads;
    /// Last member, so that its thread ends first.
    log_writer m_writer;
};

} // namespace turmericswitch::control

#endif
