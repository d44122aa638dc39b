#include "support/consensus_harness.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace turmericswitch::consensus
{

namespace
{

using core::member_id;
using testing::consensus_harness;

constexpr std::uint32_t step_limit = 1U << 24;
constexpr std::size_t max_members = 8;
constexpr std::size_t min_voters = 3;
/// Short, so that overloaded leaders hand over often.
constexpr core::duration commit_stall_timeout = std::chrono::milliseconds(600);

/// One generated step: the operation, the member it affects and a parameter.
struct fuzz_step
{
    unsigned kind;
    unsigned member;
    unsigned amount;
};

fuzz_step decode_step(std::uint32_t code)
{
    return {code & 0xffU, (code >> 8) & 0xffU, (code >> 16) & 0xffU};
}

member_id pick(consensus_harness const& group, unsigned number)
{
    auto const all = group.members();
    return all[number % all.size()];
}

member_id leader_or_any(consensus_harness const& group, unsigned number)
{
    return group.leader().value_or(pick(group, number));
}

void replace_member(consensus_harness& group, fuzz_step const& step)
{
    auto const& members = group.oracle().membership().members;
    auto const at = leader_or_any(group, step.member);
    auto const voters = std::count_if(members.begin(),
                                      members.end(),
                                      [](auto const& m) { return !m.learner; });
    for (auto const& member : members)
    {
        bool const gone = group.has_lost_disk(member.id);
        if (member.learner)
        {
            group.change(at, membership_change_kind::promote, member.id);
            return;
        }
        // Removes no member of a group of three unless its disk is lost.
        if (gone || (step.amount % 2 == 0 && voters > int(min_voters) &&
                     member.id == pick(group, step.amount)))
        {
            group.change(at, membership_change_kind::remove, member.id);
            return;
        }
    }
    auto const all = group.members();
    auto const unused = std::find_if(
        all.begin(),
        all.end(),
        [&](member_id id)
        {
            return id.value() > members.size() &&
                   std::none_of(members.begin(),
                                members.end(),
                                [id](auto const& m) { return m.id == id; });
        });
    if (all.size() < max_members)
    {
        group.change(
            at, membership_change_kind::add_learner, group.start_spare());
    }
    else if (unused != all.end() && !group.has_lost_disk(*unused))
    {
        group.change(at, membership_change_kind::add_learner, *unused);
    }
}

/// Proposes two removals at once at the leader, one of which must be refused.
void propose_two_removals(consensus_harness& group, unsigned number)
{
    auto const at = leader_or_any(group, number);
    auto const& members = group.oracle().membership().members;
    if (members.size() > min_voters + 1)
    {
        group.change(at, membership_change_kind::remove, members[0].id);
        group.change(at, membership_change_kind::remove, members[1].id);
    }
}

void cut_all_but(consensus_harness& group, member_id from, member_id kept)
{
    for (auto const other : group.members())
    {
        if (other != kept)
        {
            group.cut(from, other);
        }
    }
}

/// The leader accepts a proposal while its disk may be stalled and only one
/// other member is reachable. It crashes and restarts without the entry while
/// that member is isolated.
void crash_with_unsynced_entry(consensus_harness& group, fuzz_step const& step)
{
    auto const at = leader_or_any(group, step.member);
    auto const reached = pick(group, step.amount);
    cut_all_but(group, at, reached);
    group.stall_disk(at, step.amount % 4 != 0);
    group.propose(at);
    group.run(step.amount % 16);
    group.crash(at);
    group.heal();
    group.restart(at);
    group.isolate(reached);
    group.run(40);
}

/// Isolates each new leader once it was elected or has committed an entry, and
/// reconnects the one isolated before.
void isolate_new_leaders(consensus_harness& group, fuzz_step const& step)
{
    if (group.leader())
    {
        group.isolate(*group.leader());
        group.propose(*group.leader());
    }
    for (unsigned turn = 0; turn < 4; ++turn)
    {
        auto const before = group.leader();
        auto const committed = group.oracle().last_committed();
        bool const after_election = ((step.amount >> turn) & 1U) != 0;
        auto const happened = [&]
        {
            return after_election
                       ? group.leader() != before
                       : group.oracle().last_committed() != committed;
        };
        for (int i = 0; i < 60 && !happened(); ++i)
        {
            group.run(1);
        }
        auto const next = group.leader();
        group.heal();
        if (next)
        {
            group.isolate(*next);
        }
    }
    group.heal();
}

/// An isolated leader must step down within two election timeouts.
void isolate_leader(consensus_harness& group, unsigned number)
{
    auto const at = leader_or_any(group, number);
    group.isolate(at);
    group.propose(at);
    group.run(32);
    auto const* const node = group.node(at);
    bool const leads = node != nullptr && node->role() == member_role::leader;
    RC_ASSERT(!leads);
}

/// Restarts all members, so that several become candidates at once, and crashes
/// one between two of its actions during that election.
void crash_in_election(consensus_harness& group, fuzz_step const& step)
{
    auto const voter = pick(group, step.member);
    for (auto const id : group.members())
    {
        group.restart(id);
    }
    group.heal();
    group.set_network(0, 8);
    group.crash_after(voter, 1 + step.amount % 8);
    for (int i = 0; i < 50; ++i)
    {
        group.run(1);
        if (group.node(voter) == nullptr)
        {
            group.restart(voter);
        }
    }
}

/// Sends a proposal and a read to every member that believes it is the leader.
void propose_and_read_at_leaders(consensus_harness& group)
{
    for (auto const id : group.members())
    {
        if (group.node(id) != nullptr &&
            group.node(id)->role() == member_role::leader)
        {
            group.propose(id);
            group.read(id);
        }
    }
}

/// Transfers leadership and may isolate the old leader, which then still
/// believes it leads while the next leader commits entries.
void transfer_from_leader(consensus_harness& group, fuzz_step const& step)
{
    auto const at = leader_or_any(group, step.member);
    group.transfer(at);
    if (step.amount % 2 == 0)
    {
        return;
    }
    group.run(1 + step.amount % 6);
    group.isolate(at);
    for (int i = 0; i < 5; ++i)
    {
        group.run(3);
        propose_and_read_at_leaders(group);
    }
}

void partition(consensus_harness& group, unsigned mask)
{
    auto const all = group.members();
    for (auto const a : all)
    {
        for (auto const b : all)
        {
            if (((mask >> (a.value() % 8)) & 1U) !=
                ((mask >> (b.value() % 8)) & 1U))
            {
                group.cut(a, b);
            }
        }
    }
}

void fail_disk(consensus_harness& group, fuzz_step const& step)
{
    auto& disk = group.disk(pick(group, step.member));
    if (step.amount % 2 == 0)
    {
        disk.fail_next_sync(step.amount % 4 == 0);
    }
    else
    {
        disk.set_space(step.amount);
    }
}

void lose_one_disk(consensus_harness& group, unsigned number)
{
    auto const all = group.members();
    bool const any_lost =
        std::any_of(all.begin(),
                    all.end(),
                    [&](member_id id) { return group.has_lost_disk(id); });
    auto const& members = group.oracle().membership().members;
    bool const all_vote =
        std::none_of(members.begin(),
                     members.end(),
                     [](auto const& member) { return member.learner; });
    if (!any_lost && all_vote && members.size() >= min_voters)
    {
        group.lose_disk(members[number % members.size()].id);
    }
}

/// Slows down the links of one member while the leader has large entries to
/// send, some of whose calls and answers may be lost.
void overload_links(consensus_harness& group, fuzz_step const& step)
{
    group.slow_down(pick(group, step.member), step.amount % 8);
    group.set_network(step.member % 20, step.member % 8);
    auto const at = leader_or_any(group, step.member);
    for (unsigned i = 0; i < step.amount % 4; ++i)
    {
        group.propose(at, 40 + step.amount);
        group.propose(at);
    }
    group.run(step.amount);
}

void inject_fault(consensus_harness& group, fuzz_step const& step)
{
    auto const member = pick(group, step.member);
    switch (step.kind % 9)
    {
    case 0:
        if (step.amount % 2 == 0)
        {
            group.crash(member);
            break;
        }
        crash_in_election(group, step);
        break;
    case 1:
        group.crash_after(member, step.amount % 12);
        break;
    case 2:
        group.cut(member, pick(group, step.amount));
        break;
    case 3:
        isolate_leader(group, step.member);
        break;
    case 4:
        if (step.amount % 2 == 0)
        {
            partition(group, step.amount);
            break;
        }
        isolate_new_leaders(group, step);
        break;
    case 5:
        fail_disk(group, step);
        break;
    case 6:
        crash_with_unsynced_entry(group, step);
        break;
    case 7:
        overload_links(group, step);
        break;
    default:
        lose_one_disk(group, step.member);
        break;
    }
}

void run_operation(consensus_harness& group, fuzz_step const& step)
{
    auto const member = pick(group, step.member);
    switch (step.kind % 8)
    {
    case 0:
        group.read(member);
        break;
    case 1:
        group.take_snapshot(member);
        break;
    case 2:
        replace_member(group, step);
        break;
    case 3:
        transfer_from_leader(group, step);
        break;
    case 4:
        group.set_network(step.amount % 30, step.member % 20);
        break;
    case 5:
        if (step.amount % 2 == 0)
        {
            group.restart(member);
            break;
        }
        group.disk(member).set_space(std::nullopt);
        group.recover_storage(member);
        break;
    case 6:
        propose_two_removals(group, step.member);
        break;
    default:
        group.heal();
        break;
    }
}

void take_step(consensus_harness& group, fuzz_step const& step)
{
    auto const choice = step.kind / 8 % 8;
    if (choice < 2)
    {
        inject_fault(group, step);
    }
    else if (choice < 6)
    {
        run_operation(group, step);
    }
    propose_and_read_at_leaders(group);
    group.run(step.amount % 16);
    propose_and_read_at_leaders(group);
}

void run_group(std::size_t voters)
{
    auto const seed = *rc::gen::arbitrary<std::uint64_t>();
    auto const codes = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, step_limit)));
    consensus_harness group(voters, seed, commit_stall_timeout);
    group.run(40);
    for (auto const code : codes)
    {
        take_step(group, decode_step(code));
    }
    group.expect_progress();
}

} // namespace

class raft_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(raft_fuzz_test);
    CPPUNIT_TEST(three_members_agree);
    CPPUNIT_TEST(five_members_agree);
    CPPUNIT_TEST_SUITE_END();

    // Guards against lost or diverging entries, two leaders in one term, stale
    // reads and a group without progress after all faults are repaired.
    void three_members_agree()
    {
        testing::check_property(
            "three members", {11, 400, 200}, [] { run_group(3); });
    }

    void five_members_agree()
    {
        testing::check_property(
            "five members", {12, 400, 200}, [] { run_group(5); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(raft_fuzz_test);

} // namespace turmericswitch::consensus
