#ifndef TURMERICSWITCH_TESTS_SUPPORT_CONSENSUS_ORACLE_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_CONSENSUS_ORACLE_HPP

#include "core/messages/consensus.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace turmericswitch::testing
{

/// What a correct group may do, seen from outside: one committed sequence,
/// one leader per term, and reads that cover all acknowledged proposals.
/// Every method throws std::runtime_error when it is told otherwise.
class consensus_oracle
{
public:
    /// A member applied an entry. The first to do so decides what stands at
    /// the index.
    void applied(core::member_id by, core::log_entry const& entry);

    /// @return The state after `index` as a number.
    std::uint64_t digest(core::log_index index) const;

    void became_leader(core::member_id member, core::term term);

    /// A proposal or change was acknowledged at `index`.
    void acknowledged(core::log_index index);

    /// Only changes that add or remove one member may follow each other.
    void membership_committed(core::group_membership const& next);

    void read_began(std::uint64_t read);
    void read_answered(std::uint64_t read, core::log_index index);

    core::log_index last_committed() const;
    core::log_index last_acknowledged() const;
    core::group_membership const& membership() const;

private:
    std::map<core::log_index, core::log_entry> m_committed;
    std::map<core::log_index, std::uint64_t> m_digests;
    std::map<core::term, core::member_id> m_leaders;
    std::map<std::uint64_t, core::log_index> m_reads;
    core::log_index m_acknowledged;
    core::group_membership m_membership;
};

} // namespace turmericswitch::testing

#endif
