#ifndef TURMERICSWITCH_TESTS_SUPPORT_CONSENSUS_HARNESS_MEMBER_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_CONSENSUS_HARNESS_MEMBER_HPP

#include "support/consensus_harness.hpp"

namespace turmericswitch::testing
{

/// @return Snapshot data of a state; long enough for several chunks.
std::string harness_state_text(std::uint64_t digest);

struct consensus_harness::member_state
{
    core::member_id id;
    fake_file_system disk;
    std::unique_ptr<store::hard_state_store> hard;
    std::unique_ptr<store::snapshot_store> snapshots;
    std::optional<store::log_store> log;
    std::optional<consensus::raft_node> node;
    std::vector<core::log_entry> unwritten;
    core::log_index applied;
    std::optional<std::size_t> crash_countdown;
    bool disk_lost = false;
    bool stalled = false;
    bool storage_failed = false;
};

} // namespace turmericswitch::testing

#endif
