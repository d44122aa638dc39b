#include "support/consensus_harness_member.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace turmericswitch::testing
{

using core::log_index;
using core::member_id;

namespace
{

constexpr std::size_t snapshot_filler_bytes = 200;
/// Steps after which a call that has not ended is given up: 2 s.
constexpr std::uint64_t call_steps = 200;

std::size_t payload_bytes(core::consensus_message const& content)
{
    std::size_t bytes = 0;
    if (auto const* more = std::get_if<core::append_request>(&content.body))
    {
        for (auto const& entry : more->entries)
        {
            bytes += entry.data.size();
        }
    }
    else if (auto const* part =
                 std::get_if<core::append_fragment>(&content.body))
    {
        bytes = part->data.size();
    }
    else if (auto const* chunk =
                 std::get_if<core::snapshot_chunk>(&content.body))
    {
        bytes = chunk->data.size();
    }
    return bytes;
}

} // namespace

std::string harness_state_text(std::uint64_t digest)
{
    return std::to_string(digest) + std::string(snapshot_filler_bytes, '.');
}

void consensus_harness::write_log(member_state& member)
{
    if (member.unwritten.empty())
    {
        return;
    }
    auto const batch = std::exchange(member.unwritten, {});
    if (!member.log->append(batch))
    {
        fail_storage(member);
        return;
    }
    feed(member,
         consensus::persisted{batch.back().index, batch.back().entry_term});
}

void consensus_harness::feed(member_state& member,
                             consensus::event const& input)
{
    if (!member.node)
    {
        return;
    }
    for (auto const& output : member.node->handle(now(), input))
    {
        if (member.crash_countdown && (*member.crash_countdown)-- == 0)
        {
            crash(member.id);
            return;
        }
        if (!carry_out(member, output))
        {
            fail_storage(member);
            return;
        }
    }
}

void consensus_harness::fail_storage(member_state& member)
{
    member.storage_failed = true;
    member.unwritten.clear();
    feed(member, consensus::storage_failed{});
}

bool consensus_harness::recover_storage(member_id id)
{
    auto& member = *m_members.at(id);
    if (!member.node || !member.storage_failed)
    {
        return false;
    }
    auto const hard = member.hard->reopen();
    if (!hard || !member.snapshots->sync())
    {
        return false;
    }
    auto const snapshot = member.snapshots->load_newest();
    if (!snapshot || !member.log->reopen({snapshot->metadata.last_index,
                                          snapshot->metadata.last_term}))
    {
        return false;
    }
    member.storage_failed = false;
    member.unwritten.clear();
    member.applied = snapshot->metadata.last_index;
    feed(member,
         consensus::storage_recovered{
             {*hard,
              snapshot->metadata,
              std::make_shared<std::string const>(snapshot->data),
              member.log->take_recovered()}});
    return true;
}

bool consensus_harness::carry_out(member_state& member,
                                  consensus::action const& output)
{
    using namespace consensus;
    if (auto const* sent = std::get_if<send>(&output))
    {
        transmit(*sent);
    }
    else if (auto const* hard = std::get_if<persist_hard_state>(&output))
    {
        return member.hard->save(hard->state);
    }
    else if (auto const* more = std::get_if<append>(&output))
    {
        member.unwritten.insert(
            member.unwritten.end(), more->entries.begin(), more->entries.end());
    }
    else if (auto const* cut_off = std::get_if<truncate>(&output))
    {
        std::erase_if(member.unwritten,
                      [cut_off](auto const& entry)
                      { return entry.index >= cut_off->from; });
        return member.log->truncate_suffix(cut_off->from);
    }
    else if (auto const* done = std::get_if<consensus::apply>(&output))
    {
        apply_entries(member, *done);
    }
    else if (auto const* whole = std::get_if<install_snapshot>(&output))
    {
        return install(member, *whole);
    }
    else if (auto const* ready = std::get_if<read_ready>(&output))
    {
        m_oracle.read_answered(ready->id.value(), ready->index);
        m_outcomes[ready->id.value()].readable = ready->index;
    }
    else if (auto const* refused = std::get_if<rejected>(&output))
    {
        m_outcomes[refused->id.value()].rejected = refused->code;
    }
    else if (auto const* role = std::get_if<role_changed>(&output);
             role != nullptr && role->role == member_role::leader)
    {
        m_oracle.became_leader(member.id, role->current_term);
    }
    return true;
}

void consensus_harness::apply_entries(member_state& member,
                                      consensus::apply const& output)
{
    for (auto const& [entry, id] : output.entries)
    {
        if (entry.index.value() != member.applied.value() + 1)
        {
            throw std::runtime_error("entries applied out of order");
        }
        m_oracle.applied(member.id, entry);
        member.applied = entry.index;
        if (id)
        {
            m_oracle.acknowledged(entry.index);
            m_outcomes[id->value()].applied = entry.index;
        }
    }
}

bool consensus_harness::install(member_state& member,
                                consensus::install_snapshot const& output)
{
    auto const index = output.metadata.last_index;
    if (index <= member.applied ||
        output.data != harness_state_text(m_oracle.digest(index)))
    {
        throw std::runtime_error("snapshot is older or has another state");
    }
    member.unwritten.clear();
    member.applied = index;
    return member.snapshots->save({output.metadata, output.data}) &&
           member.log->reset(index);
}

void consensus_harness::transmit(consensus::send const& sent)
{
    auto content = sent.content;
    bool const is_routed = !m_routing.on_send || m_routing.on_send(content);
    bool const is_lost = chance(100) < m_drop_percent || !is_routed;
    bool const is_doubled = !is_lost && chance(100) < m_drop_percent;
    for (int i = 0; i <= static_cast<int>(is_doubled); ++i)
    {
        m_flights.push_back({m_step + 1 + chance(m_max_delay + 1),
                             content,
                             static_cast<double>(payload_bytes(content)),
                             m_step + call_steps,
                             sent.delivery,
                             is_lost,
                             chance(100) < m_drop_percent});
    }
}

void consensus_harness::end_call(flight const& item, bool answered)
{
    auto const sender = m_members.find(item.content.from);
    if (item.delivery != consensus::delivery_id() && sender != m_members.end())
    {
        feed(*sender->second,
             consensus::delivery_ended{item.delivery, answered});
    }
}

std::size_t
consensus_harness::link_rate(core::consensus_message const& content) const
{
    std::size_t rate = 0;
    for (auto const end : {content.from, content.to})
    {
        if (auto const found = m_rates.find(end); found != m_rates.end())
        {
            rate = rate == 0 ? found->second : std::min(rate, found->second);
        }
    }
    return rate;
}

void consensus_harness::move_slow_flights()
{
    using link = std::pair<member_id, member_id>;
    std::map<link, std::size_t> sharing;
    for (auto const& item : m_flights)
    {
        sharing[{item.content.from, item.content.to}] += item.remaining > 0;
    }
    for (auto& item : m_flights)
    {
        auto const rate = link_rate(item.content);
        auto const share = sharing.at({item.content.from, item.content.to});
        item.remaining = rate == 0 || share == 0
                             ? 0
                             : item.remaining - static_cast<double>(rate) /
                                                    static_cast<double>(share);
    }
    for (auto& item : m_flights)
    {
        if (item.remaining > 0 && item.deadline <= m_step)
        {
            item.remaining = 0;
            item.is_lost = true;
        }
    }
}

std::string consensus_harness::describe() const
{
    std::string text;
    for (auto const& [id, member] : m_members)
    {
        text += "\nmember " + std::to_string(id.value()) + ": applied " +
                std::to_string(member->applied.value()) + ", stored " +
                (member->log ? std::to_string(member->log->last_index().value())
                             : std::string("nothing"));
        if (!member->node)
        {
            continue;
        }
        text +=
            ", term " + std::to_string(member->node->current_term().value()) +
            ", role " + std::to_string(static_cast<int>(member->node->role())) +
            ", members";
        for (auto const& other : member->node->membership().members)
        {
            text += (other.learner ? " (" : " ") +
                    std::to_string(other.id.value()) +
                    (other.learner ? ")" : "");
        }
    }
    return text;
}

bool consensus_harness::is_acknowledged_everywhere(log_index index) const
{
    auto const& group = m_oracle.membership().members;
    return std::all_of(group.begin(),
                       group.end(),
                       [this, index](auto const& member)
                       {
                           auto const& state = *m_members.at(member.id);
                           return state.disk_lost || state.applied >= index;
                       });
}

std::optional<member_id> consensus_harness::leader() const
{
    std::optional<member_id> found;
    core::term highest;
    for (auto const& [id, member] : m_members)
    {
        if (member->node &&
            member->node->role() == consensus::member_role::leader &&
            member->node->current_term() >= highest)
        {
            highest = member->node->current_term();
            found = id;
        }
    }
    return found;
}

consensus::raft_node const* consensus_harness::node(member_id member) const
{
    auto const& state = *m_members.at(member);
    return state.node ? &*state.node : nullptr;
}

log_index consensus_harness::applied(member_id member) const
{
    return m_members.at(member)->applied;
}

consensus_harness::outcome const&
consensus_harness::outcome_of(std::uint64_t id) const
{
    return m_outcomes.at(id);
}

fake_file_system& consensus_harness::disk(member_id member)
{
    return m_members.at(member)->disk;
}

std::vector<member_id> consensus_harness::members() const
{
    std::vector<member_id> ids;
    for (auto const& [id, member] : m_members)
    {
        ids.push_back(id);
    }
    return ids;
}

bool consensus_harness::has_lost_disk(member_id member) const
{
    return m_members.at(member)->disk_lost;
}

consensus_oracle const& consensus_harness::oracle() const
{
    return m_oracle;
}

} // namespace turmericswitch::testing
