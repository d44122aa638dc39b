#ifndef TURMERICSWITCH_TESTS_SUPPORT_CONSENSUS_HARNESS_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_CONSENSUS_HARNESS_HPP

#include "consensus/node/raft_node.hpp"
#include "store/log/log_store.hpp"
#include "store/state/hard_state_store.hpp"
#include "store/state/snapshot_store.hpp"
#include "support/consensus_oracle.hpp"
#include "support/fake_file_system.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericswitch::testing
{

/// A consensus group in one thread: raft nodes over the real store on fake
/// disks, joined by a network that drops, delays, doubles and reorders. All
/// faults follow from the seed. A broken promise throws std::runtime_error.
class consensus_harness
{
public:
    struct outcome
    {
        std::optional<core::log_index> applied;
        std::optional<core::result_code> rejected;
        std::optional<core::log_index> readable;
    };

    /// Decides which messages reach their receiver.
    struct routing
    {
        /// Called with each message before it is sent; may name its sender.
        /// @return False if the message is lost.
        std::function<bool(core::consensus_message&)> on_send;
        /// Called with each message that its receiver is about to handle.
        std::function<void(core::consensus_message const&)> on_received;
    };

    /// Bound of the bytes in flight to one member.
    static constexpr std::size_t max_in_flight_bytes = 90;

    consensus_harness(
        std::size_t voters,
        std::uint64_t seed,
        core::duration commit_stall_timeout = std::chrono::seconds(5));
    /// @param first_members The voters of the new group.
    /// @param options Options of all members; `self` is ignored.
    consensus_harness(core::group_membership first_members,
                      consensus::raft_options const& options,
                      std::uint64_t seed);
    ~consensus_harness();

    void set_routing(routing hooks);

    /// Runs steps of 10 ms.
    void run(std::size_t steps);

    /// @return A ticket whose outcome can be looked up.
    std::uint64_t propose(core::member_id at);
    /// @param bytes Size of the proposal.
    std::uint64_t propose(core::member_id at, std::size_t bytes);
    std::uint64_t read(core::member_id at);
    std::uint64_t change(core::member_id at,
                         consensus::membership_change_kind kind,
                         core::member_id subject);
    std::uint64_t change(core::member_id at,
                         consensus::membership_change_kind kind,
                         core::group_member const& subject);
    void transfer(core::member_id at);
    void take_snapshot(core::member_id at);

    /// Starts an empty member that waits to be added.
    core::member_id start_spare();
    /// Starts an empty member with the given id that waits to be added.
    void start_empty(core::member_id id);
    void crash(core::member_id member);
    /// The member crashes between two of its next actions.
    void crash_after(core::member_id member, std::size_t actions);
    void restart(core::member_id member);
    /// Opens the stores of a member again after a write that failed, as the
    /// program does while it runs.
    /// @return False if the member has no failed storage, or it fails again.
    bool recover_storage(core::member_id member);
    /// Appended entries stay unsynced while a disk is stalled.
    void stall_disk(core::member_id member, bool stalled);
    /// Stops the member for good and loses its disk.
    void lose_disk(core::member_id member);

    void cut(core::member_id from, core::member_id to);
    void isolate(core::member_id member);
    void heal();
    /// @param drop_percent Share of messages lost; as many are doubled.
    void set_network(unsigned drop_percent, unsigned max_delay_steps);
    /// Limits the rate at which messages with payload cross the links of a
    /// member. The messages of a link share its rate; those without payload
    /// are not delayed. A message that takes longer than a call may is lost.
    /// @param bytes_per_step 0 removes the limit.
    void slow_down(core::member_id member, std::size_t bytes_per_step);

    /// Heals everything and expects a proposal to be acknowledged and applied
    /// by every member within a fixed number of steps.
    void expect_progress();

    std::optional<core::member_id> leader() const;
    consensus::raft_node const* node(core::member_id member) const;
    core::log_index applied(core::member_id member) const;
    outcome const& outcome_of(std::uint64_t id) const;
    fake_file_system& disk(core::member_id member);
    std::vector<core::member_id> members() const;
    bool has_lost_disk(core::member_id member) const;
    consensus_oracle const& oracle() const;
    core::time_point now() const;
    /// @return The state of all members, for error messages.
    std::string describe() const;

private:
    struct member_state;
    struct flight
    {
        std::uint64_t due = 0;
        core::consensus_message content;
        /// Payload bytes that have yet to cross a slow link.
        double remaining = 0;
        /// Step at which the call is given up.
        std::uint64_t deadline = 0;
        consensus::delivery_id delivery;
        bool is_lost = false;
        /// The message arrives, but the call ends without an answer.
        bool loses_answer = false;
    };

    void start_first_members();
    void start(member_state& member, bool fresh);
    void step();
    void deliver();
    void move_slow_flights();
    std::size_t link_rate(core::consensus_message const& content) const;
    void write_log(member_state& member);
    void feed(member_state& member, consensus::event const& input);
    bool carry_out(member_state& member, consensus::action const& output);
    void fail_storage(member_state& member);
    void apply_entries(member_state& member, consensus::apply const& output);
    bool install(member_state& member,
                 consensus::install_snapshot const& output);
    void transmit(consensus::send const& sent);
    void end_call(flight const& item, bool answered);
    bool is_acknowledged_everywhere(core::log_index index) const;
    std::uint64_t chance(std::uint64_t limit);
    std::uint64_t open_ticket();

    core::random_source m_random;
    std::map<core::member_id, std::unique_ptr<member_state>> m_members;
    core::group_membership m_first_members;
    std::vector<flight> m_flights;
    std::set<std::pair<core::member_id, core::member_id>> m_cuts;
    /// Bytes per step that the slow members send and receive.
    std::map<core::member_id, std::size_t> m_rates;
    std::map<std::uint64_t, outcome> m_outcomes;
    consensus_oracle m_oracle;
    std::uint64_t m_step = 0;
    std::uint64_t m_next_ticket = 1;
    consensus::raft_options m_options;
    routing m_routing;
    unsigned m_drop_percent = 0;
    unsigned m_max_delay = 3;
};

} // namespace turmericswitch::testing

#endif
