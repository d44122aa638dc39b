#include "support/consensus_harness.hpp"

#include "core/results/last_reason.hpp"
#include "support/consensus_harness_member.hpp"

#include <algorithm>
#include <stdexcept>

namespace turmericswitch::testing
{

using core::log_index;
using core::member_id;

namespace
{

constexpr auto step_time = std::chrono::milliseconds(10);
constexpr std::uint64_t recovery_steps = 2000;

[[noreturn]] void fail(std::string const& what)
{
    throw std::runtime_error(what + ": " + core::last_reason().text);
}

consensus::raft_options short_timeouts(std::size_t message_bytes,
                                       core::duration commit_stall_timeout)
{
    consensus::raft_options options;
    options.commit_stall_timeout = commit_stall_timeout;
    options.election_timeout = std::chrono::milliseconds(150);
    options.heartbeat_interval = std::chrono::milliseconds(30);
    options.max_message_bytes = message_bytes;
    options.max_in_flight_bytes = consensus_harness::max_in_flight_bytes;
    options.max_total_in_flight_bytes = 3 * options.max_in_flight_bytes;
    options.snapshot_chunk_bytes = 64;
    options.retained_entries = 5;
    options.promotion_lag = 5;
    return options;
}

} // namespace

consensus_harness::consensus_harness(std::size_t voters,
                                     std::uint64_t seed,
                                     core::duration commit_stall_timeout)
    : m_random(core::seeded_random(seed))
{
    // One or two entries per message in half of the runs. A membership is
    // always sent in fragments.
    m_options = short_timeouts(chance(2) == 0 ? 8 : 30, commit_stall_timeout);
    for (std::size_t i = 1; i <= voters; ++i)
    {
        m_first_members.members.push_back({member_id(i), {}, {}, false});
    }
    start_first_members();
}

consensus_harness::consensus_harness(core::group_membership first_members,
                                     consensus::raft_options const& options,
                                     std::uint64_t seed)
    : m_random(core::seeded_random(seed)),
      m_first_members(std::move(first_members)),
      m_options(options)
{
    start_first_members();
}

consensus_harness::~consensus_harness() = default;

void consensus_harness::set_routing(routing hooks)
{
    m_routing = std::move(hooks);
}

void consensus_harness::start_first_members()
{
    for (auto const& member : m_first_members.members)
    {
        start_empty(member.id);
    }
}

void consensus_harness::start(member_state& member, bool fresh)
{
    auto& disk = member.disk;
    member.hard = std::make_unique<store::hard_state_store>(disk, "state");
    member.snapshots = std::make_unique<store::snapshot_store>(disk, "snap");
    auto const first = consensus::bootstrap_state(m_first_members);
    auto const& voters = m_first_members.members;
    bool const is_voter = std::any_of(voters.begin(),
                                      voters.end(),
                                      [&member](auto const& each)
                                      { return each.id == member.id; });
    consensus::recovered_state found;
    auto const snapshot = member.snapshots->load_newest();
    if (!snapshot)
    {
        fail("snapshot");
    }
    member.log = store::log_store::open(
        disk,
        "log",
        {snapshot->metadata.last_index, snapshot->metadata.last_term},
        {300});
    if (!member.log)
    {
        fail("log");
    }
    if (fresh &&
        ((is_voter && !member.log->append(first.entries)) ||
         !member.hard->create({"g", member.id, m_random()},
                              is_voter ? first.hard : core::hard_state())))
    {
        fail("create");
    }
    if (!member.hard->load_identity(member.id))
    {
        fail("identity");
    }
    found.hard = *member.hard->load();
    found.snapshot = snapshot->metadata;
    found.snapshot_data = std::make_shared<std::string const>(snapshot->data);
    found.entries = member.log->take_recovered();
    if (fresh && is_voter)
    {
        found.entries = first.entries;
    }
    member.applied = snapshot->metadata.last_index;
    member.unwritten.clear();
    auto options = m_options;
    options.self = member.id;
    member.node.emplace(
        options, std::move(found), core::seeded_random(m_random()), now());
}

void consensus_harness::run(std::size_t steps)
{
    for (std::size_t i = 0; i < steps; ++i)
    {
        step();
    }
}

void consensus_harness::step()
{
    ++m_step;
    move_slow_flights();
    deliver();
    for (auto const& [id, member] : m_members)
    {
        if (member->node && !member->stalled && chance(3) == 0)
        {
            write_log(*member);
        }
        feed(*member, consensus::tick{});
    }
}

void consensus_harness::deliver()
{
    std::vector<flight> due;
    std::erase_if(m_flights,
                  [this, &due](flight const& item)
                  {
                      bool const is_due =
                          item.due <= m_step && item.remaining <= 0;
                      if (is_due)
                      {
                          due.push_back(item);
                      }
                      return is_due;
                  });
    for (auto const& item : due)
    {
        auto const& content = item.content;
        auto const target = m_members.find(content.to);
        bool const arrives = !item.is_lost && target != m_members.end() &&
                             target->second->node &&
                             !m_cuts.contains({content.from, content.to});
        if (arrives)
        {
            if (m_routing.on_received)
            {
                m_routing.on_received(content);
            }
            feed(*target->second, consensus::message{content});
        }
        end_call(item, arrives && !item.loses_answer);
    }
}

std::uint64_t consensus_harness::propose(member_id at)
{
    return propose(at, 0);
}

std::uint64_t consensus_harness::propose(member_id at, std::size_t bytes)
{
    auto const id = open_ticket();
    auto data = std::to_string(id);
    data.resize(std::max(bytes, data.size()), '.');
    feed(*m_members.at(at),
         consensus::propose{{{consensus::ticket(id), std::move(data)}}});
    return id;
}

std::uint64_t consensus_harness::read(member_id at)
{
    auto const id = open_ticket();
    m_oracle.read_began(id);
    feed(*m_members.at(at), consensus::read_request{consensus::ticket(id)});
    return id;
}

std::uint64_t consensus_harness::change(member_id at,
                                        consensus::membership_change_kind kind,
                                        member_id subject)
{
    return change(at, kind, core::group_member{subject, {}, {}, false});
}

std::uint64_t consensus_harness::change(member_id at,
                                        consensus::membership_change_kind kind,
                                        core::group_member const& subject)
{
    auto const id = open_ticket();
    feed(*m_members.at(at),
         consensus::change_membership{consensus::ticket(id), kind, subject});
    return id;
}

void consensus_harness::transfer(member_id at)
{
    feed(*m_members.at(at), consensus::transfer_leadership{});
}

void consensus_harness::take_snapshot(member_id at)
{
    auto& member = *m_members.at(at);
    auto const known =
        member.node ? member.snapshots->load_newest() : std::nullopt;
    if (!known || member.applied <= known->metadata.last_index)
    {
        return;
    }
    auto const metadata = member.node->snapshot_metadata_at(member.applied);
    auto const text = harness_state_text(m_oracle.digest(member.applied));
    if (!member.snapshots->save({metadata, text}) ||
        !member.log->compact_prefix(member.snapshots->oldest_index()))
    {
        fail_storage(member);
        return;
    }
    feed(member,
         consensus::snapshot_taken{metadata,
                                   std::make_shared<std::string const>(text)});
}

member_id consensus_harness::start_spare()
{
    auto const id = member_id(m_members.rbegin()->first.value() + 1);
    start_empty(id);
    return id;
}

void consensus_harness::start_empty(member_id id)
{
    auto& state = m_members[id];
    state = std::make_unique<member_state>();
    state->id = id;
    state->disk = fake_file_system(m_random());
    start(*state, true);
}

void consensus_harness::crash(member_id member)
{
    auto& state = *m_members.at(member);
    state.crash_countdown.reset();
    state.stalled = false;
    state.storage_failed = false;
    state.node.reset();
    state.log.reset();
    state.disk.crash();
    for (auto& item : m_flights)
    {
        // The calls of a process end with it.
        if (item.content.from == member)
        {
            item.delivery = {};
        }
    }
}

void consensus_harness::crash_after(member_id member, std::size_t actions)
{
    m_members.at(member)->crash_countdown = actions;
}

void consensus_harness::restart(member_id member)
{
    auto& state = *m_members.at(member);
    if (state.disk_lost)
    {
        return;
    }
    crash(member);
    state.disk.set_space(std::nullopt);
    start(state, false);
}

void consensus_harness::stall_disk(member_id member, bool stalled)
{
    m_members.at(member)->stalled = stalled;
}

void consensus_harness::lose_disk(member_id member)
{
    crash(member);
    m_members.at(member)->disk = fake_file_system(m_random());
    m_members.at(member)->disk_lost = true;
}

void consensus_harness::cut(member_id from, member_id to)
{
    m_cuts.emplace(from, to);
}

void consensus_harness::isolate(member_id member)
{
    for (auto const& [other, state] : m_members)
    {
        cut(member, other);
        cut(other, member);
    }
}

void consensus_harness::heal()
{
    m_cuts.clear();
}

void consensus_harness::set_network(unsigned drop_percent,
                                    unsigned max_delay_steps)
{
    m_drop_percent = drop_percent;
    m_max_delay = max_delay_steps;
}

void consensus_harness::slow_down(member_id member, std::size_t bytes_per_step)
{
    m_rates[member] = bytes_per_step;
    if (bytes_per_step == 0)
    {
        m_rates.erase(member);
    }
}

void consensus_harness::expect_progress()
{
    heal();
    m_rates.clear();
    set_network(0, 3);
    for (auto const& [id, member] : m_members)
    {
        restart(id);
    }
    std::optional<std::uint64_t> last;
    for (std::uint64_t i = 0; i < recovery_steps; ++i)
    {
        step();
        bool const pending = last && !m_outcomes[*last].rejected;
        if (pending && m_outcomes[*last].applied &&
            is_acknowledged_everywhere(*m_outcomes[*last].applied))
        {
            return;
        }
        if (!pending && leader())
        {
            last = propose(*leader());
        }
    }
    throw std::runtime_error("no progress after everything was healed" +
                             describe());
}

std::uint64_t consensus_harness::chance(std::uint64_t limit)
{
    return core::random_below(m_random, limit);
}

std::uint64_t consensus_harness::open_ticket()
{
    m_outcomes[m_next_ticket];
    return m_next_ticket++;
}

core::time_point consensus_harness::now() const
{
    return core::time_point(step_time * static_cast<std::int64_t>(m_step));
}

} // namespace turmericswitch::testing
