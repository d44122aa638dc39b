#ifndef TURMERICSWITCH_CONTROL_NODE_REPLICA_HPP
#define TURMERICSWITCH_CONTROL_NODE_REPLICA_HPP

#include "cluster_state/machine/state_machine.hpp"
#include "consensus/membership/redundancy.hpp"
#include "consensus/node/raft_node.hpp"
#include "core/events/event.hpp"
#include "node/catch_up_monitor.hpp"
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

/// What a member found when its disk worked again.
struct storage_recovery
{
    /// Time since the write that failed.
    core::duration failed_for{};
    /// Attempts to use the disk, including the last one.
    std::uint64_t attempts = 0;
    /// Index up to which entries had been applied before the failure.
    core::log_index applied_before;
    /// Index of the last entry on the disk.
    core::log_index last_index;
};

/// Functions of the process that the replica calls, all on the event loop's
/// thread.
struct replica_hooks
{
    /// Sends a message to another member; it may be lost. If its delivery is
    /// tracked, `replica::end_delivery` must be called once for it.
    std::function<void(consensus::send const&)> transmit;
    /// This member leads and has applied all entries of earlier terms.
    std::function<void()> leadership_began;
    std::function<void()> leadership_ended;
    /// A command was applied; called on every member, not only the leader.
    std::function<void(core::command_body const&, core::command_reply const&)>
        applied;
    /// The role, the leader or the membership changed.
    std::function<void()> group_changed;
    core::event_hook on_event;
    /// A write or sync failed, with the reason. The member sends no messages
    /// until `storage_recovered`.
    std::function<void(std::string const&)> storage_failed;
    /// The disk works again and the member takes part. The state was rebuilt
    /// from the disk, so `applied` repeats commands.
    std::function<void(storage_recovery const&)> storage_recovered;
};

/// The options, stores and recovered state from which a replica starts.
struct replica_parts
{
    consensus::raft_options options;
    consensus::recovered_state recovered;
    store::hard_state_store hard_state;
    store::log_store log;
    store::snapshot_store snapshots;
    cluster_state::state_machine state;
    /// Where peers reach this instance, if that is known.
    std::optional<core::endpoint> address;
    /// Peers to answer until the log contains a membership.
    core::group_membership contacts;
    /// Entries applied between two snapshots.
    std::uint64_t snapshot_interval = 10'000;
    std::uint64_t random_seed = 0;
};

/// One member of the control group: runs consensus, writes to disk, and applies
/// committed commands to the replicated state. Use it only on the thread of its
/// event loop.
///
/// After a failed write it is silent, so that the group counts it as lost, and
/// tries the disk again until it works. It then continues from what the disk
/// has, as after a restart.
class replica
{
public:
    using reply_hook = std::function<void(core::command_reply const&)>;
    /// Gets `ok` when the state may be read, else why it can't.
    using read_hook = std::function<void(core::result_code)>;

    replica(process::event_loop& loop,
            replica_parts parts,
            replica_hooks hooks);

    void tick();
    void receive(core::consensus_message const& message);

    /// The transport no longer holds a tracked message.
    ///
    /// @param answered True if the peer has received it.
    void end_delivery(consensus::delivery_id id, bool answered);

    /// Replicates and applies a command. Commands that are proposed in the
    /// same pass of the event loop share one sync.
    ///
    /// @param client Session of the sender; empty for commands that need none.
    /// @param sequence Number of the command in the session.
    /// @param done Gets the reply, or `not_leader`, `no_quorum` or
    /// `outcome_unknown`.
    void propose(core::command_body body,
                 core::client_id client,
                 core::sequence_number sequence,
                 reply_hook done);

    /// Confirms leadership with a quorum (read index), then calls `done`, which
    /// may read the state.
    void read(read_hook done);

    void change_membership(consensus::membership_change_kind kind,
                           core::group_member const& member,
                           reply_hook done);

    /// Waits for the log writer, whose results are then posted to the loop.
    /// For tests that run the loop step by step.
    void wait_until_written();

    /// Transfers leadership to another member before a planned stop.
    void transfer_leadership();

    cluster_state::state_machine const& state() const noexcept;
    void observe_holds(cluster_state::hold_observer observer);

    /// @return The group's clock, valid only on the leader. It continues from
    /// the last command that was applied before leadership began.
    core::time_point cluster_now() const;

    /// @return True between `leadership_began` and `leadership_ended`.
    bool is_leading() const noexcept;
    core::term current_term() const;
    core::log_index commit_index() const;
    core::log_index applied_index() const noexcept;
    core::member_id self() const noexcept;
    core::group_membership const& membership() const;
    /// @return When a message of a current leader arrived last; nothing if none
    ///         has arrived since the process started.
    std::optional<core::time_point> last_leader_contact() const;

    /// @return The index of the last entry in the log.
    core::log_index last_index() const;
    /// @return What this instance knows about the other members, if it leads.
    std::vector<consensus::replication_status> replication() const;
    /// @return This leader's view of the group; nothing if it does not lead.
    std::optional<consensus::group_view> group_view() const;
    /// @return How long this leader has had uncommitted entries without
    /// committing one; 0 if there are none.
    core::duration commit_stall() const;
    /// @return The leader's entry in the membership, if the leader is known.
    std::optional<core::group_member> leader() const;
    /// @return Why the disk can't be used; empty if it can. The member sends no
    /// messages while it can't.
    std::string const& storage_failure() const noexcept;
    /// @return CPU time that creating the last snapshot took on the event loop.
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
    void answer_all_pending();
    void reopen_storage_if_due();
    void on_reopened(core::hard_state const& hard, stored_log log);
    bool restore_state(store::stored_snapshot const& snapshot);
    void report_stall();
    void report_members_without_vote();
    void report_stalled_learners();
    core::command_envelope make_envelope(core::command_body body) const;
    consensus::ticket next_ticket();

    /// A read for which leadership is confirmed. It is answered when the entry
    /// at `index` is applied.
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
    core::time_point m_stall_reported;
    core::time_point m_next_membership_report;
    catch_up_monitor m_catch_up;
    /// Empty while the disk can be used.
    std::string m_storage_failure;
    core::time_point m_storage_failed_at;
    core::time_point m_storage_recovered_at;
    core::time_point m_next_reopen;
    core::duration m_reopen_delay{};
    std::uint64_t m_reopen_attempts = 0;
    bool m_is_reopening = false;
    bool m_is_raft_leader = false;
    bool m_is_leading = false;
    /// The group's clock and the local clock when leadership began.
    core::time_point m_cluster_time_at_election;
    core::time_point m_leading_since;
    std::uint64_t m_last_ticket = 0;
    std::vector<consensus::proposal> m_proposal_batch;
    std::map<consensus::ticket, reply_hook> m_proposals;
    std::map<consensus::ticket, read_hook> m_reads;
    std::vector<confirmed_read> m_confirmed_reads;
    /// Declared last, so that its thread ends before other members are
    /// destroyed.
    log_writer m_writer;
};

} // namespace turmericswitch::control

#endif
