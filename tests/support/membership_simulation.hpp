#ifndef TURMERICSWITCH_TESTS_SUPPORT_MEMBERSHIP_SIMULATION_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_MEMBERSHIP_SIMULATION_HPP

#include "support/consensus_harness.hpp"

#include <functional>

namespace turmericswitch::testing
{

/// Control instances that repair their group with the membership planner. All
/// faults follow from the seed.
class membership_simulation
{
public:
    membership_simulation(std::size_t instances, std::uint64_t seed);

    /// Disturbs the group in several rounds and expects it to repair itself
    /// after each.
    /// @throws std::runtime_error If it doesn't.
    void run();

private:
    /// An instance outside the newest known membership that has named its
    /// address.
    struct unlisted_peer
    {
        core::endpoint address;
        core::time_point last_heard;
    };

    /// A join request that waits for its answer.
    struct pending_join
    {
        std::size_t leader = 0;
        core::time_point deadline;
        /// Not set if the request was lost.
        std::optional<std::uint64_t> ticket;
    };

    /// What the process of a control instance keeps in memory.
    struct process_state
    {
        core::time_point started;
        core::time_point last_led;
        core::time_point next_join;
        core::time_point next_change;
        std::optional<pending_join> join;
        std::optional<std::uint64_t> change;
        std::optional<core::endpoint> named_leader;
        std::size_t next_contact = 0;
        core::group_membership contacts;
        std::map<core::member_id, unlisted_peer> unlisted;
    };

    /// One control instance; `id` is its live identity.
    struct instance
    {
        core::endpoint address;
        core::member_id id;
        bool has_empty_disk = false;
        std::vector<core::endpoint> seeds;
        process_state process;
    };

    using steps = std::uint64_t;

    void step();
    void run_for(steps count);
    bool is_up(instance const& which) const;
    consensus::raft_node const& node_of(instance const& which) const;

    // Network
    bool route(core::consensus_message& message);
    void learn_sender(core::consensus_message const& message);
    std::optional<core::endpoint> address_known_to(instance const& from,
                                                   core::member_id to) const;
    std::optional<std::size_t> instance_at(core::endpoint const& address) const;
    std::optional<std::size_t> instance_with(core::member_id id) const;
    bool is_cut(std::size_t from, std::size_t to) const;

    // Membership manager
    void tick(std::size_t which);
    bool may_be_outside(instance const& which) const;
    std::vector<core::endpoint> contacts_of(instance const& which) const;
    void request_join(std::size_t which);
    void handle_join(std::size_t joiner, std::size_t asked);
    void finish_join(std::size_t which);
    void receive_members(std::size_t joiner, std::size_t leader);
    void continue_changes(instance& which);

    // Disturbances
    void disturb();
    void lose_disk(std::size_t which, bool replace_machine);
    void start(std::size_t which);
    void crash_between_actions(std::size_t which);
    void lose_power();
    void isolate(std::size_t which);
    void propose_burst();
    void end_disturbances();

    // Checks
    bool is_whole() const;
    bool all_have_applied(core::log_index last) const;
    void expect_within(core::duration limit,
                       std::string const& what,
                       std::function<bool()> const& holds);
    void expect_loss_is_borne();

    std::uint64_t chance(std::uint64_t limit);

    core::random_source m_random;
    consensus_harness m_group;
    std::vector<instance> m_instances;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::uint64_t m_next_address = 1;
    steps m_steps = 0;
    /// Whose disk was lost since the group was redundant.
    std::optional<std::size_t> m_lost;
    bool m_machine_lost = false;
};

} // namespace turmericswitch::testing

#endif
