#include "support/consensus_oracle.hpp"

#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <stdexcept>
#include <vector>

namespace turmericswitch::testing
{

namespace
{

void expect(bool holds, std::string const& what)
{
    if (!holds)
    {
        throw std::runtime_error(what);
    }
}

std::vector<core::member_id> voters_of(core::group_membership const& group)
{
    std::vector<core::member_id> found;
    for (auto const& member : group.members)
    {
        if (!member.learner)
        {
            found.push_back(member.id);
        }
    }
    return found;
}

} // namespace

void consensus_oracle::applied(core::member_id by, core::log_entry const& entry)
{
    auto const next = last_committed().value() + 1;
    auto const text = "index " + std::to_string(entry.index.value()) +
                      " at member " + std::to_string(by.value());
    expect(entry.index.value() <= next, "gap before " + text);
    auto const [at, fresh] = m_committed.emplace(entry.index, entry);
    expect(at->second == entry, "another entry was committed at " + text);
    if (!fresh)
    {
        return;
    }
    auto const before = digest(core::log_index(next - 1));
    m_digests[entry.index] = before * 31 +
                             std::hash<std::string>{}(entry.data) +
                             entry.entry_term.value();
    if (entry.kind == core::entry_kind::membership)
    {
        membership_committed(*wire::decode<core::group_membership>(entry.data));
    }
}

std::uint64_t consensus_oracle::digest(core::log_index index) const
{
    auto const found = m_digests.find(index);
    return found == m_digests.end() ? 0 : found->second;
}

void consensus_oracle::became_leader(core::member_id member, core::term term)
{
    auto const [at, fresh] = m_leaders.emplace(term, member);
    expect(fresh || at->second == member,
           "two leaders in term " + std::to_string(term.value()));
}

void consensus_oracle::acknowledged(core::log_index index)
{
    m_acknowledged = std::max(m_acknowledged, index);
}

void consensus_oracle::membership_committed(core::group_membership const& next)
{
    auto const before = voters_of(m_membership);
    auto const after = voters_of(next);
    std::vector<core::member_id> changed;
    std::set_symmetric_difference(before.begin(),
                                  before.end(),
                                  after.begin(),
                                  after.end(),
                                  std::back_inserter(changed));
    expect(before.empty() || changed.size() <= 1,
           "two voters changed in one step");
    m_membership = next;
}

void consensus_oracle::read_began(std::uint64_t read)
{
    m_reads[read] = m_acknowledged;
}

void consensus_oracle::read_answered(std::uint64_t read, core::log_index index)
{
    expect(index >= m_reads.at(read),
           "read answered at " + std::to_string(index.value()) + " before " +
               std::to_string(m_reads.at(read).value()));
}

core::log_index consensus_oracle::last_committed() const
{
    return m_committed.empty() ? core::log_index()
                               : m_committed.rbegin()->first;
}

core::log_index consensus_oracle::last_acknowledged() const
{
    return m_acknowledged;
}

core::group_membership const& consensus_oracle::membership() const
{
    return m_membership;
}

} // namespace turmericswitch::testing
