#include "core/results/last_reason.hpp"
#include "support/property.hpp"
#include "tests/replica_group.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace turmericswitch::control::testing
{

using consensus::membership_change_kind;
using core::result_code;

class replica_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(acknowledged_commands_survive_faults);
    CPPUNIT_TEST(leader_stops_after_a_failed_sync);
    CPPUNIT_TEST(follower_stops_on_a_full_disk);
    CPPUNIT_TEST(failed_vote_is_not_sent);
    CPPUNIT_TEST(members_take_part_again_after_their_disks_were_full);
    CPPUNIT_TEST(leader_takes_part_again_after_a_failed_sync);
    CPPUNIT_TEST(member_with_a_failing_disk_stays_silent);
    CPPUNIT_TEST(unsaved_term_ends_leadership_and_its_calls);
    CPPUNIT_TEST(snapshot_on_a_full_disk_is_taken_later);
    CPPUNIT_TEST(restart_of_all_recovers);
    CPPUNIT_TEST(lagging_follower_gets_a_snapshot);
    CPPUNIT_TEST(new_member_joins_and_votes);
    CPPUNIT_TEST(leader_transfers_leadership);
    CPPUNIT_TEST(no_read_without_a_quorum);
    CPPUNIT_TEST(no_read_at_a_replaced_leader);
    CPPUNIT_TEST(stalled_leader_says_why_and_hands_over);
    CPPUNIT_TEST(learner_without_progress_is_reported);
    CPPUNIT_TEST(redundancy_follows_losses_and_repair);
    CPPUNIT_TEST_SUITE_END();

    // Guards against lost acknowledged commands, against members that
    // diverge, and against a group that elects leaders or commits too slowly,
    // under lost messages, crashes, failed syncs and full disks.
    void acknowledged_commands_survive_faults()
    {
        // How long a quorum is connected varies widely from case to case, so
        // only the mean over many cases shows how well the group uses it.
        constexpr std::size_t min_acknowledged_per_case = 25;
        std::size_t acknowledged = 0;
        std::size_t cases = 0;
        turmericswitch::testing::check_property(
            "replica group",
            {.seed = 51, .max_success = 400},
            [&]
            {
                replica_group group(3, 40);
                group.random = core::seeded_random(
                    *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
                for (int i = 0; i < 400; ++i)
                {
                    inject_fault(group);
                    group.step();
                }
                clear_faults(group);
                RC_ASSERT(group.wait_for_leader() != 0);
                RC_ASSERT(group.submit_jobs_and_wait(1));
                RC_ASSERT(
                    group.step_until([&] { return group.has_converged(); }));
                acknowledged += group.acknowledged.size();
                ++cases;
            });
        CPPUNIT_ASSERT(acknowledged > min_acknowledged_per_case * cases);
    }

    static void inject_fault(replica_group& group)
    {
        auto const pick = 1 + core::random_below(group.random, 3);
        auto& each = group.at(pick);
        group.loss_percent = core::random_below(group.random, 30);
        switch (core::random_below(group.random, 80))
        {
        case 0:
            group.crash(pick);
            return;
        case 1:
            each.disk.fail_next_sync(core::random_below(group.random, 2) == 0);
            return;
        case 2:
            each.disk.set_space(core::random_below(group.random, 300));
            return;
        case 3:
            each.isolated = !each.isolated;
            return;
        case 4:
        case 5:
        case 6:
        case 7:
        case 8:
        case 9:
            each.isolated = false;
            restart(group, pick);
            return;
        default:
            if (each.node)
            {
                group.submit(pick);
            }
        }
    }

    static void restart(replica_group& group, std::size_t number)
    {
        if (group.at(number).node)
        {
            if (group.node(number).storage_failure().empty())
            {
                return;
            }
            group.crash(number);
        }
        group.at(number).disk.set_space(std::nullopt);
        RC_ASSERT(group.start(number, start_mode::normal));
    }

    static void clear_faults(replica_group& group)
    {
        group.loss_percent = 0;
        for (std::size_t i = 1; i <= 3; ++i)
        {
            group.at(i).isolated = false;
            group.crash(i);
            restart(group, i);
        }
    }

    // Guards against a leader whose commits stall for an unknown reason, and
    // against a log that is flooded with it.
    void stalled_leader_says_why_and_hands_over()
    {
        replica_group group;
        auto const first = group.wait_for_leader();
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
        group.events.clear();
        group.loses_payload = true;
        group.submit(first);
        auto const given_up = [&group]
        { return count(group, core::event_code::leadership_given_up) > 0; };
        CPPUNIT_ASSERT(!group.step_until(given_up, 225));
        // 4.5 s at one event a second.
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(4),
                             count(group, core::event_code::commit_stalled));
        auto const& stalled = group.events.front();
        CPPUNIT_ASSERT_EQUAL(std::string_view("members"),
                             stalled.fields.back().name);
        auto const members = std::get<std::string>(stalled.fields.back().value);
        CPPUNIT_ASSERT(members.find(std::to_string(first % 3 + 1) +
                                    ":answer_ms=") != std::string::npos);
        CPPUNIT_ASSERT(group.step_until(given_up, 50));
        CPPUNIT_ASSERT(!group.node(first).is_leading());
        group.loses_payload = false;
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
    }

    static void add_learner(replica_group& group, std::size_t number)
    {
        auto learner = group.member(number);
        learner.learner = true;
        group.node(group.leader())
            .change_membership(membership_change_kind::add_learner,
                               learner,
                               [](core::command_reply const&) {});
    }

    // Guards against a learner that gets no entries while nobody is told, and
    // against reports that don't end when it makes progress.
    void learner_without_progress_is_reported()
    {
        using core::event_code;
        replica_group group;
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
        group.add();
        add_learner(group, 4);
        CPPUNIT_ASSERT(!group.step_until([] { return false; }, 45));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0),
                             count(group, event_code::catch_up_stalled));
        // 3.1 s at one event a second.
        CPPUNIT_ASSERT(!group.step_until([] { return false; }, 110));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(3),
                             count(group, event_code::catch_up_stalled));
        auto const reported =
            std::find_if(group.events.begin(),
                         group.events.end(),
                         [](core::event const& what)
                         { return what.code == event_code::catch_up_stalled; });
        CPPUNIT_ASSERT(reported->fields[0] ==
                       (core::number_field("member", 4)));
        CPPUNIT_ASSERT(reported->fields[1] == (core::number_field("match", 0)));

        CPPUNIT_ASSERT(group.start(4, start_mode::join));
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
        group.events.clear();
        CPPUNIT_ASSERT(!group.step_until([] { return false; }, 110));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0),
                             count(group, event_code::catch_up_stalled));
    }

    /// @return The redundancy according to the leader, which must exist.
    static consensus::redundancy redundancy_of(replica_group& group)
    {
        auto const view = group.node(group.leader()).group_view();
        CPPUNIT_ASSERT(view);
        return consensus::redundancy_of(*view, {}, group.now);
    }

    // Guards against a leader that counts a silent member or a learner, and
    // against a follower that speaks for the group.
    void redundancy_follows_losses_and_repair()
    {
        using consensus::redundancy;
        replica_group group;
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
        CPPUNIT_ASSERT(redundancy_of(group) == (redundancy{3, 3, 0, 1}));
        auto const lost = group.leader() % 3 + 1;
        CPPUNIT_ASSERT(!group.node(lost).group_view());
        group.crash(lost);
        CPPUNIT_ASSERT(!group.step_until([] { return false; }, 60));
        CPPUNIT_ASSERT(redundancy_of(group) == (redundancy{3, 2, 0, 0}));
        group.add();
        add_learner(group, 4);
        group.step();
        CPPUNIT_ASSERT(redundancy_of(group) == (redundancy{3, 2, 1, 0}));
        CPPUNIT_ASSERT(group.start(lost, start_mode::normal));
        CPPUNIT_ASSERT(!group.step_until([] { return false; }, 60));
        CPPUNIT_ASSERT(redundancy_of(group) == (redundancy{3, 3, 1, 1}));
    }

    static std::ptrdiff_t count(replica_group const& group,
                                core::event_code code)
    {
        return std::count_if(group.events.begin(),
                             group.events.end(),
                             [code](core::event const& what)
                             { return what.code == code; });
    }

    // Guards against a leader that continues to lead or answer after a write
    // to its disk was lost.
    void leader_stops_after_a_failed_sync()
    {
        replica_group group;
        auto const first = group.wait_for_leader();
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
        group.at(first).disk.fail_syncs(true);
        group.submit(first);
        group.step();
        CPPUNIT_ASSERT(!group.node(first).storage_failure().empty());
        CPPUNIT_ASSERT(!group.node(first).is_leading());
        auto const sent = group.at(first).transmitted;
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
        CPPUNIT_ASSERT_EQUAL(sent, group.at(first).transmitted);
        group.submit(first);
        CPPUNIT_ASSERT(group.refusals.back() == result_code::not_leader);

        group.at(first).disk.fail_syncs(false);
        group.crash(first);
        CPPUNIT_ASSERT(group.start(first, start_mode::normal));
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
    }

    // Guards against a follower that acknowledges entries that it could not
    // write, and against one that can't restart after a full disk.
    void follower_stops_on_a_full_disk()
    {
        replica_group group;
        auto const follower = group.wait_for_leader() % 3 + 1;
        auto const other = follower % 3 + 1 == group.leader()
                               ? (follower + 1) % 3 + 1
                               : follower % 3 + 1;
        group.at(follower).disk.set_space(10);
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
        CPPUNIT_ASSERT(!group.node(follower).storage_failure().empty());
        auto const sent = group.at(follower).transmitted;
        // With the third member isolated, the leader and the member with the
        // full disk must not form a quorum.
        group.at(other).isolated = true;
        auto const known = group.acknowledged.size();
        group.submit(group.leader());
        group.step_until([] { return false; }, 100);
        CPPUNIT_ASSERT_EQUAL(known, group.acknowledged.size());
        CPPUNIT_ASSERT_EQUAL(sent, group.at(follower).transmitted);

        group.at(other).isolated = false;
        group.crash(follower);
        group.at(follower).disk.set_space(std::nullopt);
        CPPUNIT_ASSERT(group.start(follower, start_mode::normal));
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
    }

    // Guards against a vote that is sent but not stored: after a restart the
    // member could vote a second time in the term.
    void failed_vote_is_not_sent()
    {
        replica_group group;
        group.wait_for_leader();
        auto const voter = group.leader() % 3 + 1;
        group.at(voter).disk.fail_next_sync();
        core::consensus_message request{
            core::member_id(group.leader()),
            core::member_id(voter),
            core::term(group.node(voter).current_term().value() + 5),
            core::vote_request{
                core::log_index(100), core::term(100), false, true}};
        auto const sent = group.at(voter).transmitted;
        group.node(voter).receive(request);
        CPPUNIT_ASSERT(!group.node(voter).storage_failure().empty());
        group.node(voter).receive(request);
        CPPUNIT_ASSERT_EQUAL(sent, group.at(voter).transmitted);
    }

    /// Steps of 20 ms within which a member must take part again after its disk
    /// works: 4 s.
    static constexpr int contact_steps = 200;

    /// Makes a disk full until a write fails, and for 5 s more.
    static void fill_disk(replica_group& group, std::size_t number)
    {
        group.at(number).disk.set_space(0);
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
        group.step_until([] { return false; }, 250);
        CPPUNIT_ASSERT(!group.node(number).storage_failure().empty());
        group.at(number).disk.set_space(std::nullopt);
    }

    /// Expects that a member counts in the quorum: without another one, the
    /// group commits only with it.
    static void expect_votes(replica_group& group, std::size_t number)
    {
        auto const other = number % 3 + 1;
        group.at(other).isolated = true;
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
        group.at(other).isolated = false;
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
    }

    // Guards against a member that stays silent for good after its disk was
    // full for some seconds: the second such disk costs the group its quorum.
    void members_take_part_again_after_their_disks_were_full()
    {
        for (std::uint64_t const interval : {10'000U, 10U})
        {
            replica_group group(3, interval);
            CPPUNIT_ASSERT(group.submit_jobs_and_wait(25));
            for (std::size_t const number : {1U, 2U, 3U, 2U})
            {
                fill_disk(group, number);
                CPPUNIT_ASSERT(group.step_until(
                    [&]
                    { return group.leader() != 0 && group.has_converged(); },
                    contact_steps));
                CPPUNIT_ASSERT(group.node(number).storage_failure().empty());
                expect_votes(group, number);
            }
        }
    }

    // Guards against a leader that never writes again after one failed sync,
    // and against entries of that sync that are taken as durable.
    void leader_takes_part_again_after_a_failed_sync()
    {
        for (bool const drops : {true, false})
        {
            replica_group group;
            auto const first = group.wait_for_leader();
            CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
            group.at(first).disk.fail_next_sync(drops);
            group.submit(first);
            group.step();
            CPPUNIT_ASSERT(!group.node(first).is_leading());
            CPPUNIT_ASSERT(group.step_until(
                [&] { return group.leader() != 0 && group.has_converged(); },
                contact_steps));
            CPPUNIT_ASSERT(group.node(first).storage_failure().empty());
            expect_votes(group, first);
            for (std::size_t i = 1; i <= 3; ++i)
            {
                group.crash(i);
                CPPUNIT_ASSERT(group.start(i, start_mode::normal));
            }
            CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
            CPPUNIT_ASSERT(
                group.step_until([&] { return group.has_converged(); }));
        }
    }

    // Guards against a member that comes back for a moment at each attempt to
    // use a disk that still fails: the leader would never count it as lost.
    void member_with_a_failing_disk_stays_silent()
    {
        replica_group group;
        auto const member = group.wait_for_leader() % 3 + 1;
        group.at(member).disk.fail_syncs(true);
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
        CPPUNIT_ASSERT(!group.node(member).storage_failure().empty());
        auto const sent = group.at(member).transmitted;
        group.step_until([] { return false; }, 500);
        CPPUNIT_ASSERT_EQUAL(sent, group.at(member).transmitted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), redundancy_of(group).losses_borne);
        group.at(member).disk.fail_syncs(false);
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); },
                                        contact_steps));
    }

    // Guards against a process that goes on as the leader, and against callers
    // that get no answer, when the term that ends its leadership can't be
    // saved: the actions that follow the failed write are discarded.
    void unsaved_term_ends_leadership_and_its_calls()
    {
        replica_group group;
        auto const first = group.wait_for_leader();
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
        group.loss_percent = 100;
        group.submit(first);
        group.drain();
        CPPUNIT_ASSERT(group.refusals.empty());
        group.at(first).disk.fail_syncs(true);
        core::consensus_message newer{
            core::member_id(first % 3 + 1),
            core::member_id(first),
            core::term(group.node(first).current_term().value() + 5),
            core::append_answer{}};
        group.node(first).receive(newer);
        group.drain();
        CPPUNIT_ASSERT(!group.node(first).storage_failure().empty());
        CPPUNIT_ASSERT(!group.node(first).is_leading());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), group.refusals.size());
        CPPUNIT_ASSERT(group.refusals[0] == result_code::outcome_unknown);
    }

    // Guards against a member that takes no snapshot any more after one could
    // not be written, so that its log grows without bound.
    void snapshot_on_a_full_disk_is_taken_later()
    {
        replica_group group(3, 10);
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(9));
        auto const member = group.leader() % 3 + 1;
        // Room for the entries, but not for the snapshot.
        group.at(member).disk.set_space(1500);
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(30));
        CPPUNIT_ASSERT(group.step_until(
            [&] { return !group.node(member).storage_failure().empty(); }));
        group.at(member).disk.set_space(std::nullopt);
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); },
                                        contact_steps));
        auto const before = group.at(member).disk.list("data/snapshots");
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(30));
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
        CPPUNIT_ASSERT(group.at(member).disk.list("data/snapshots")->back() >
                       before->back());
    }

    // Guards against state that is lost when all instances crash at once, with
    // and without snapshots.
    void restart_of_all_recovers()
    {
        for (std::uint64_t const interval : {10'000U, 10U})
        {
            replica_group group(3, interval);
            CPPUNIT_ASSERT(group.submit_jobs_and_wait(45));
            for (std::size_t i = 1; i <= 3; ++i)
            {
                group.crash(i);
            }
            for (std::size_t i = 1; i <= 3; ++i)
            {
                CPPUNIT_ASSERT(group.start(i, start_mode::normal));
            }
            CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
            CPPUNIT_ASSERT(
                group.step_until([&] { return group.has_converged(); }));
        }
    }

    // Guards against a follower that can't catch up after the log entries that
    // it lacks were removed.
    void lagging_follower_gets_a_snapshot()
    {
        replica_group group(3, 10);
        auto const follower = group.wait_for_leader() % 3 + 1;
        group.crash(follower);
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(60));
        for (std::size_t i = 1; i <= 3; ++i)
        {
            // The restart drops entries kept in memory; with them the follower
            // could catch up without a snapshot.
            if (i != follower)
            {
                group.crash(i);
                CPPUNIT_ASSERT(group.start(i, start_mode::normal));
            }
        }
        CPPUNIT_ASSERT(group.start(follower, start_mode::normal));
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
        group.crash(follower);
        CPPUNIT_ASSERT(group.start(follower, start_mode::normal));
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
    }

    // Guards against a new member that is never promoted, or that does not
    // count in the quorum.
    void new_member_joins_and_votes()
    {
        replica_group group;
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
        group.add();
        CPPUNIT_ASSERT(group.start(4, start_mode::join));
        group.step_until([] { return false; }, 100);
        CPPUNIT_ASSERT(!group.node(4).is_leading());

        auto code = result_code::no_quorum;
        auto learner = group.member(4);
        learner.learner = true;
        group.node(group.leader())
            .change_membership(membership_change_kind::add_learner,
                               learner,
                               [&](core::command_reply const& reply)
                               { code = reply.code; });
        // The leader's periodic maintenance promotes the learner.
        auto const is_voter = [&]
        {
            auto const& members = group.node(4).membership().members;
            return members.size() == 4 && !members.back().learner;
        };
        CPPUNIT_ASSERT(group.step_until(is_voter, 3000));
        CPPUNIT_ASSERT(code == result_code::ok);
        // The quorum is three of four now, so it needs the new member.
        group.crash(group.leader());
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
    }

    // Guards against a planned stop after which the group has no leader for an
    // election timeout.
    void leader_transfers_leadership()
    {
        replica_group group;
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
        auto const first = group.leader();
        auto const began = group.now;
        group.node(first).transfer_leadership();
        CPPUNIT_ASSERT(group.step_until(
            [&] { return group.leader() != 0 && group.leader() != first; }));
        CPPUNIT_ASSERT(group.now - began < std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(group.has_acknowledged(group.leader()));
    }

    // Guards against a read that is answered without a quorum.
    void no_read_without_a_quorum()
    {
        replica_group group;
        auto const first = group.wait_for_leader();
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
        group.at(first % 3 + 1).isolated = true;
        group.at((first + 1) % 3 + 1).isolated = true;
        std::vector<result_code> codes;
        group.node(first).read([&](result_code code)
                               { codes.push_back(code); });
        CPPUNIT_ASSERT(codes.empty());
        CPPUNIT_ASSERT(group.step_until([&] { return !codes.empty(); }));
        group.node(first).read([&](result_code code)
                               { codes.push_back(code); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), codes.size());
        CPPUNIT_ASSERT(codes[0] != result_code::ok);
        CPPUNIT_ASSERT(codes[1] == result_code::not_leader);
    }

    // Guards against a stale read at a leader that has been replaced.
    void no_read_at_a_replaced_leader()
    {
        replica_group group;
        auto const first = group.wait_for_leader();
        group.at(first).isolated = true;
        CPPUNIT_ASSERT(group.wait_for_leader() != first);
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
        auto seen = result_code::ok;
        group.node(first).read([&](result_code code) { seen = code; });
        CPPUNIT_ASSERT(
            group.step_until([&] { return seen != result_code::ok; }));
        group.submit(first);
        group.at(first).isolated = false;
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

} // namespace turmericswitch::control::testing
