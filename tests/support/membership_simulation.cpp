#include "support/membership_simulation.hpp"

#include "consensus/membership/membership_planner.hpp"

#include <algorithm>
#include <stdexcept>

namespace turmericswitch::testing
{

using consensus::member_role;
using consensus::membership_change_kind;
using consensus::raft_node;
using core::endpoint;
using core::group_membership;
using core::member_id;
using std::chrono::milliseconds;

namespace
{

/// Time for which callers wait for a leader, from the last disturbance on. The
/// group must have repaired itself by then.
constexpr core::duration contact_time = milliseconds(4000);

// Timing of control instances: see membership_manager.cpp and peer_links.cpp.
constexpr core::duration join_interval = milliseconds(300);
constexpr core::duration join_timeout = milliseconds(700);
constexpr core::duration change_interval = milliseconds(100);
constexpr core::duration rejoin_after = milliseconds(1000);
constexpr core::duration unlisted_peer_timeout = milliseconds(10000);

constexpr std::uint64_t rounds = 4;
constexpr std::uint64_t max_operations = 5;
constexpr std::uint64_t max_steps_between = 120;
constexpr std::uint64_t steps_between_proposals = 10;

consensus::raft_options production_timeouts(std::size_t message_bytes)
{
    consensus::raft_options options;
    options.max_message_bytes = message_bytes;
    options.max_in_flight_bytes = 2 * message_bytes;
    options.max_total_in_flight_bytes = 8 * message_bytes;
    options.snapshot_chunk_bytes = 64;
    options.retained_entries = 20;
    options.promotion_lag = 20;
    return options;
}

bool is_request(core::consensus_message const& message)
{
    auto const& body = message.body;
    return std::holds_alternative<core::vote_request>(body) ||
           std::holds_alternative<core::append_request>(body) ||
           std::holds_alternative<core::append_fragment>(body) ||
           std::holds_alternative<core::snapshot_chunk>(body);
}

bool lists(group_membership const& group, member_id id)
{
    return std::any_of(group.members.begin(),
                       group.members.end(),
                       [id](auto const& each) { return each.id == id; });
}

std::optional<endpoint> address_in(group_membership const& group, member_id id)
{
    for (auto const& member : group.members)
    {
        if (member.id == id)
        {
            return member.rpc;
        }
    }
    return std::nullopt;
}

endpoint address_number(std::uint64_t number)
{
    return {"10.0.0." + std::to_string(number), 7600};
}

group_membership first_members(std::size_t count)
{
    group_membership group;
    for (std::size_t i = 1; i <= count; ++i)
    {
        // As in production, the first ids lie between those drawn later.
        group.members.push_back(
            {member_id((1ULL << 62U) + i), address_number(i), {}, false});
    }
    return group;
}

} // namespace

membership_simulation::membership_simulation(std::size_t instances,
                                             std::uint64_t seed)
    : m_random(core::seeded_random(seed)),
      m_group(first_members(instances),
              production_timeouts(1000 + core::random_below(m_random, 3000)),
              m_random())
{
    auto const group = first_members(instances);
    std::vector<endpoint> seeds;
    for (auto const& member : group.members)
    {
        seeds.push_back(member.rpc);
    }
    for (auto const& member : group.members)
    {
        m_instances.push_back({member.rpc, member.id, false, seeds, {}});
    }
    m_next_address = instances + 1;
    m_group.set_routing({[this](core::consensus_message& message)
                         { return route(message); },
                         [this](core::consensus_message const& message)
                         { learn_sender(message); }});
}

void membership_simulation::run()
{
    expect_within(contact_time, "first leader", [this] { return is_whole(); });
    for (std::uint64_t round = 0; round < rounds; ++round)
    {
        for (auto left = 1 + chance(max_operations); left > 0; --left)
        {
            disturb();
            run_for(chance(max_steps_between));
        }
        end_disturbances();
        auto const acknowledged = m_group.oracle().last_acknowledged();
        expect_within(contact_time,
                      "redundancy after round " + std::to_string(round),
                      [this, acknowledged]
                      { return is_whole() && all_have_applied(acknowledged); });
        m_lost.reset();
    }
    expect_loss_is_borne();
}

void membership_simulation::step()
{
    if (++m_steps % steps_between_proposals == 0 && m_group.leader())
    {
        m_group.propose(*m_group.leader(), 10 + chance(40));
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        if (is_up(m_instances[i]))
        {
            tick(i);
        }
    }
    m_group.run(1);
}

void membership_simulation::run_for(steps count)
{
    for (; count > 0; --count)
    {
        step();
    }
}

bool membership_simulation::is_up(instance const& which) const
{
    return !which.has_empty_disk && m_group.node(which.id) != nullptr;
}

raft_node const& membership_simulation::node_of(instance const& which) const
{
    return *m_group.node(which.id);
}

bool membership_simulation::route(core::consensus_message& message)
{
    auto const from = instance_with(message.from);
    if (!from || !is_up(m_instances[*from]))
    {
        return false;
    }
    auto const& sender = m_instances[*from];
    if (is_request(message))
    {
        message.sender = sender.address;
    }
    auto const address = address_known_to(sender, message.to);
    auto const to = address ? instance_at(*address) : std::nullopt;
    return to && m_instances[*to].id == message.to && !is_cut(*from, *to);
}

void membership_simulation::learn_sender(core::consensus_message const& message)
{
    auto const to = instance_with(message.to);
    if (to && message.sender)
    {
        m_instances[*to].process.unlisted[message.from] = {*message.sender,
                                                           m_group.now()};
    }
}

std::optional<endpoint>
membership_simulation::address_known_to(instance const& from,
                                        member_id to) const
{
    auto const& own = node_of(from).membership();
    auto const& listed = own.members.empty() ? from.process.contacts : own;
    if (auto address = address_in(listed, to))
    {
        return address;
    }
    auto const& unlisted = from.process.unlisted;
    auto const found = unlisted.find(to);
    bool const is_known =
        found != unlisted.end() &&
        m_group.now() - found->second.last_heard <= unlisted_peer_timeout;
    return is_known ? std::optional(found->second.address) : std::nullopt;
}

std::optional<std::size_t>
membership_simulation::instance_at(endpoint const& address) const
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        if (m_instances[i].address == address)
        {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t>
membership_simulation::instance_with(member_id id) const
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        if (m_instances[i].id == id)
        {
            return i;
        }
    }
    return std::nullopt;
}

bool membership_simulation::is_cut(std::size_t from, std::size_t to) const
{
    return m_cuts.contains({from, to});
}

void membership_simulation::tick(std::size_t which)
{
    auto& self = m_instances[which];
    bool const leads = node_of(self).role() == member_role::leader;
    if (leads)
    {
        self.process.last_led = m_group.now();
    }
    if (self.process.join)
    {
        finish_join(which);
    }
    else if (may_be_outside(self) && m_group.now() >= self.process.next_join)
    {
        request_join(which);
    }
    if (leads && m_group.now() >= self.process.next_change)
    {
        self.process.next_change = m_group.now() + change_interval;
        continue_changes(self);
    }
}

bool membership_simulation::may_be_outside(instance const& which) const
{
    auto const& node = node_of(which);
    auto const heard =
        std::max(which.process.last_led,
                 node.last_leader_contact().value_or(which.process.started));
    return !lists(node.membership(), which.id) ||
           m_group.now() - heard > rejoin_after;
}

std::vector<endpoint>
membership_simulation::contacts_of(instance const& which) const
{
    auto found = which.seeds;
    for (auto const& member : node_of(which).membership().members)
    {
        if (member.id != which.id &&
            std::find(found.begin(), found.end(), member.rpc) == found.end())
        {
            found.push_back(member.rpc);
        }
    }
    return found;
}

void membership_simulation::request_join(std::size_t which)
{
    auto& self = m_instances[which];
    auto& process = self.process;
    process.next_join = m_group.now() + join_interval;
    auto const contacts = contacts_of(self);
    auto const address = process.named_leader.value_or(
        contacts[process.next_contact++ % contacts.size()]);
    process.named_leader.reset();
    auto const asked = instance_at(address);
    if (asked && *asked != which && is_up(m_instances[*asked]))
    {
        handle_join(which, *asked);
    }
}

void membership_simulation::handle_join(std::size_t joiner, std::size_t asked)
{
    auto& process = m_instances[joiner].process;
    auto const& other = m_instances[asked];
    auto const& node = node_of(other);
    pending_join join{asked, m_group.now() + join_timeout, std::nullopt};
    if (is_cut(joiner, asked))
    {
        process.join = join;
        return;
    }
    if (node.role() != member_role::leader)
    {
        if (node.leader() && !is_cut(asked, joiner))
        {
            process.named_leader =
                address_in(node.membership(), *node.leader());
        }
        return;
    }
    auto const id = m_instances[joiner].id;
    if (lists(node.membership(), id))
    {
        receive_members(joiner, asked);
        return;
    }
    join.ticket = m_group.change(other.id,
                                 membership_change_kind::add_learner,
                                 {id, m_instances[joiner].address, {}, true});
    process.join = join;
}

void membership_simulation::finish_join(std::size_t which)
{
    auto& process = m_instances[which].process;
    auto const join = *process.join;
    bool ended = m_group.now() >= join.deadline;
    if (join.ticket && !is_cut(join.leader, which))
    {
        auto const& outcome = m_group.outcome_of(*join.ticket);
        ended = ended || outcome.applied || outcome.rejected;
        if (outcome.applied && is_up(m_instances[join.leader]))
        {
            receive_members(which, join.leader);
        }
        else if (outcome.rejected && is_up(m_instances[join.leader]))
        {
            process.named_leader = m_instances[join.leader].address;
        }
    }
    if (ended)
    {
        process.join.reset();
    }
}

void membership_simulation::receive_members(std::size_t joiner,
                                            std::size_t leader)
{
    auto& self = m_instances[joiner];
    if (!is_cut(leader, joiner) && node_of(self).membership().members.empty())
    {
        self.process.contacts = node_of(m_instances[leader]).membership();
    }
}

void membership_simulation::continue_changes(instance& which)
{
    if (which.process.change)
    {
        auto const& outcome = m_group.outcome_of(*which.process.change);
        if (!outcome.applied && !outcome.rejected)
        {
            return;
        }
        which.process.change.reset();
    }
    auto const& node = node_of(which);
    consensus::membership_view view{which.id, node.membership(), {}};
    for (auto const& status : node.replication())
    {
        view.followers[status.member] = {
            status.last_answer, status.has_answered, status.has_caught_up};
    }
    if (auto const next =
            consensus::next_membership_change(view, {}, m_group.now()))
    {
        which.process.change =
            m_group.change(which.id, next->kind, next->member);
    }
}

void membership_simulation::disturb()
{
    auto const which = chance(m_instances.size());
    auto const other = chance(m_instances.size());
    switch (chance(14))
    {
    case 0:
    case 1:
        lose_disk(which, false);
        break;
    case 2:
        lose_disk(m_lost.value_or(which), false);
        break;
    case 3:
        lose_disk(which, true);
        break;
    case 4:
        m_group.crash(m_instances[which].id);
        break;
    case 5:
        crash_between_actions(which);
        break;
    case 6:
        lose_power();
        break;
    case 7:
        m_cuts.emplace(which, other);
        break;
    case 8:
        isolate(which);
        break;
    case 9:
        m_group.stall_disk(m_instances[which].id, true);
        break;
    case 10:
        m_group.slow_down(m_instances[which].id, 1 + chance(200));
        break;
    case 11:
        m_group.take_snapshot(m_instances[which].id);
        break;
    case 12:
        propose_burst();
        break;
    default:
        m_group.set_network(static_cast<unsigned>(chance(20)), 3);
        break;
    }
}

/// Until the group is redundant again, only the same instance may lose its disk
/// once more, and only at the same address.
void membership_simulation::lose_disk(std::size_t which, bool replace_machine)
{
    bool const is_again = m_lost == which && !replace_machine &&
                          !m_machine_lost && !m_instances[which].has_empty_disk;
    if (m_lost && !is_again)
    {
        return;
    }
    m_lost = which;
    m_machine_lost = replace_machine;
    auto& self = m_instances[which];
    m_group.lose_disk(self.id);
    self.has_empty_disk = true;
    if (replace_machine)
    {
        self.address = address_number(m_next_address++);
    }
    run_for(chance(max_steps_between));
    start(which);
}

/// Starts the process of an instance; one with an empty disk draws a new id.
void membership_simulation::start(std::size_t which)
{
    auto& self = m_instances[which];
    self.process = {};
    self.process.started = m_group.now();
    if (!self.has_empty_disk)
    {
        m_group.restart(self.id);
        return;
    }
    self.id = member_id(m_random());
    self.has_empty_disk = false;
    self.seeds.clear();
    for (auto const& each : m_instances)
    {
        self.seeds.push_back(each.address);
    }
    m_group.start_empty(self.id);
}

void membership_simulation::crash_between_actions(std::size_t which)
{
    auto const id = m_instances[which].id;
    m_group.crash_after(id, chance(12));
    run_for(chance(20));
    m_group.crash(id);
}

void membership_simulation::lose_power()
{
    for (auto const& each : m_instances)
    {
        m_group.crash_after(each.id, chance(6));
    }
    run_for(chance(4));
    for (auto const& each : m_instances)
    {
        m_group.crash(each.id);
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        start(i);
    }
}

void membership_simulation::isolate(std::size_t which)
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        m_cuts.emplace(which, i);
        m_cuts.emplace(i, which);
    }
}

void membership_simulation::propose_burst()
{
    for (auto left = chance(12); left > 0 && m_group.leader(); --left)
    {
        m_group.propose(*m_group.leader(), 10 + chance(1500));
    }
}

void membership_simulation::end_disturbances()
{
    m_cuts.clear();
    m_group.set_network(0, 3);
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        m_group.slow_down(m_instances[i].id, 0);
        if (!is_up(m_instances[i]))
        {
            start(i);
        }
        m_group.stall_disk(m_instances[i].id, false);
    }
}

/// @return True if the voters are the live identities of all instances.
bool membership_simulation::is_whole() const
{
    std::set<member_id> voters;
    for (auto const& member : m_group.oracle().membership().members)
    {
        if (!member.learner)
        {
            voters.insert(member.id);
        }
    }
    std::set<member_id> live;
    for (auto const& each : m_instances)
    {
        live.insert(each.id);
    }
    return voters == live && m_group.leader() &&
           live.contains(*m_group.leader());
}

bool membership_simulation::all_have_applied(core::log_index last) const
{
    return std::all_of(m_instances.begin(),
                       m_instances.end(),
                       [this, last](auto const& each)
                       { return m_group.applied(each.id) >= last; });
}

void membership_simulation::expect_within(core::duration limit,
                                          std::string const& what,
                                          std::function<bool()> const& holds)
{
    auto const deadline = m_group.now() + limit;
    while (!holds())
    {
        if (m_group.now() >= deadline)
        {
            throw std::runtime_error("no " + what + m_group.describe());
        }
        step();
    }
}

/// Loses one more disk for good and expects a proposal to be committed.
void membership_simulation::expect_loss_is_borne()
{
    auto const which = chance(m_instances.size());
    m_group.lose_disk(m_instances[which].id);
    m_instances[which].has_empty_disk = true;
    std::optional<std::uint64_t> last;
    expect_within(contact_time,
                  "commit after the loss of one more disk",
                  [this, &last]
                  {
                      if (last && m_group.outcome_of(*last).applied)
                      {
                          return true;
                      }
                      bool const pending =
                          last && !m_group.outcome_of(*last).rejected;
                      if (auto const at = m_group.leader(); at && !pending)
                      {
                          last = m_group.propose(*at);
                      }
                      return false;
                  });
}

std::uint64_t membership_simulation::chance(std::uint64_t limit)
{
    return core::random_below(m_random, limit);
}

} // namespace turmericswitch::testing
