#include "support/consensus_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::consensus
{

namespace
{

using core::member_id;
using core::result_code;
using testing::consensus_harness;

constexpr std::size_t settle_steps = 100;

member_id elected_leader(consensus_harness& group)
{
    group.run(settle_steps);
    CPPUNIT_ASSERT(group.leader().has_value());
    return *group.leader();
}

member_id other_than(consensus_harness const& group, member_id id)
{
    auto const all = group.members();
    return all[0] == id ? all[1] : all[0];
}

void expect_deposed(consensus_harness& group, member_id old)
{
    auto const write = group.propose(old);
    auto const read = group.read(old);
    group.run(6 * settle_steps);
    CPPUNIT_ASSERT(!group.outcome_of(write).applied);
    CPPUNIT_ASSERT(group.outcome_of(write).rejected ==
                   result_code::outcome_unknown);
    CPPUNIT_ASSERT(!group.outcome_of(read).readable);
    CPPUNIT_ASSERT(group.outcome_of(read).rejected.has_value());
    auto const late = group.propose(old);
    CPPUNIT_ASSERT(group.outcome_of(late).rejected == result_code::not_leader);
    CPPUNIT_ASSERT(group.leader() != old);
}

} // namespace

class raft_node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(raft_node_test);
    CPPUNIT_TEST(partitioned_leader_answers_nothing);
    CPPUNIT_TEST(follower_reports_the_leader);
    CPPUNIT_TEST(group_survives_a_loss_right_after_a_repair);
    CPPUNIT_TEST(returning_member_does_not_depose_the_leader);
    CPPUNIT_TEST(removed_leader_steps_down);
    CPPUNIT_TEST(leadership_transfer_needs_no_election_timeout);
    CPPUNIT_TEST(member_steps_down_after_a_failed_sync);
    CPPUNIT_TEST(lagging_follower_catches_up_by_snapshot);
    CPPUNIT_TEST(lagging_learner_is_not_promoted);
    CPPUNIT_TEST(new_leader_refuses_membership_changes);
    CPPUNIT_TEST(entry_of_an_earlier_term_is_not_counted);
    CPPUNIT_TEST(vote_is_sent_after_it_is_durable);
    CPPUNIT_TEST(snapshot_does_not_replace_a_newer_log);
    CPPUNIT_TEST(sync_of_a_replaced_entry_is_ignored);
    CPPUNIT_TEST(large_entry_commits_over_slow_links);
    CPPUNIT_TEST(overload_ends_with_its_cause);
    CPPUNIT_TEST(leader_that_cannot_commit_hands_over);
    CPPUNIT_TEST(append_under_way_is_not_sent_again);
    CPPUNIT_TEST(follower_that_lost_unsynced_entries_catches_up);
    CPPUNIT_TEST_SUITE_END();

    // Guards against stale answers from a leader behind a partition. It reaches
    // no other member; in the first case it still receives their messages.
    void partitioned_leader_answers_nothing()
    {
        for (bool const hears_others : {true, false})
        {
            consensus_harness group(3, 1);
            auto const old = elected_leader(group);
            for (auto const id : group.members())
            {
                group.cut(old, id);
            }
            if (!hears_others)
            {
                group.isolate(old);
            }
            expect_deposed(group, old);
            group.expect_progress();
        }
    }

    // Guards against clients that can't find the leader.
    void follower_reports_the_leader()
    {
        consensus_harness group(3, 2);
        auto const at = elected_leader(group);
        auto const follower = other_than(group, at);
        CPPUNIT_ASSERT(group.node(follower)->leader() == at);
        auto const id = group.propose(follower);
        CPPUNIT_ASSERT(group.outcome_of(id).rejected ==
                       result_code::not_leader);
    }

    // Guards against a repaired group that can't lose another member: the old
    // leader fails as soon as the replacement is a voter.
    void group_survives_a_loss_right_after_a_repair()
    {
        consensus_harness group(3, 3);
        auto const at = elected_leader(group);
        auto const lost = other_than(group, at);
        group.lose_disk(lost);
        group.run(settle_steps);
        auto const spare = group.start_spare();
        group.change(at, membership_change_kind::remove, lost);
        group.run(settle_steps);
        group.change(at, membership_change_kind::add_learner, spare);
        group.run(settle_steps);
        auto const promoted =
            group.change(at, membership_change_kind::promote, spare);
        while (!group.outcome_of(promoted).applied)
        {
            CPPUNIT_ASSERT(!group.outcome_of(promoted).rejected);
            group.run(1);
        }
        group.lose_disk(at);
        group.expect_progress();
    }

    // Guards against a member that returns from a partition with a higher term
    // and forces an election.
    void returning_member_does_not_depose_the_leader()
    {
        consensus_harness group(3, 4);
        auto const at = elected_leader(group);
        auto const term = group.node(at)->current_term();
        group.isolate(other_than(group, at));
        group.run(5 * settle_steps);
        group.heal();
        group.run(settle_steps);
        CPPUNIT_ASSERT(group.leader() == at);
        CPPUNIT_ASSERT(group.node(at)->current_term() == term);
    }

    // Guards against a leader that goes on leading after its own removal.
    void removed_leader_steps_down()
    {
        consensus_harness group(5, 5);
        auto const at = elected_leader(group);
        auto const id = group.change(at, membership_change_kind::remove, at);
        group.run(settle_steps);
        CPPUNIT_ASSERT(group.outcome_of(id).applied.has_value());
        CPPUNIT_ASSERT(group.node(at)->role() == member_role::follower);
        CPPUNIT_ASSERT(group.leader().has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                             group.oracle().membership().members.size());
    }

    // Guards against a planned stop that leaves the group without a leader for
    // an election timeout or longer (15 steps or more).
    void leadership_transfer_needs_no_election_timeout()
    {
        consensus_harness group(3, 6);
        auto const at = elected_leader(group);
        group.transfer(at);
        group.run(14);
        CPPUNIT_ASSERT(group.leader().has_value());
        CPPUNIT_ASSERT(group.leader() != at);
    }

    // Guards against a member that acknowledges entries it could not store.
    void member_steps_down_after_a_failed_sync()
    {
        consensus_harness group(3, 7);
        auto const at = elected_leader(group);
        group.disk(at).fail_next_sync();
        group.propose(at);
        group.run(settle_steps);
        CPPUNIT_ASSERT(group.leader().has_value());
        CPPUNIT_ASSERT(group.leader() != at);
        auto const refused = group.propose(at);
        CPPUNIT_ASSERT(group.outcome_of(refused).rejected ==
                       result_code::not_leader);
        group.expect_progress();
    }

    // Guards against a member that can't catch up after the leader compacted
    // its log, and a snapshot transfer that restarts after a lost chunk.
    void lagging_follower_catches_up_by_snapshot()
    {
        consensus_harness group(3, 8);
        auto const at = elected_leader(group);
        auto const behind = other_than(group, at);
        group.crash(behind);
        for (int i = 0; i < 40; ++i)
        {
            group.propose(at);
            group.run(2);
        }
        group.run(settle_steps);
        group.take_snapshot(at);
        group.set_network(20, 3);
        group.restart(behind);
        group.run(4 * settle_steps);
        CPPUNIT_ASSERT_EQUAL(group.applied(at), group.applied(behind));
        group.expect_progress();
    }

    // Guards against a new voter that stalls commits until it has caught up.
    void lagging_learner_is_not_promoted()
    {
        consensus_harness group(3, 9);
        auto const at = elected_leader(group);
        auto const spare = group.start_spare();
        group.isolate(spare);
        group.change(at, membership_change_kind::add_learner, spare);
        group.run(settle_steps);
        auto const id =
            group.change(at, membership_change_kind::promote, spare);
        CPPUNIT_ASSERT(group.outcome_of(id).rejected == result_code::not_ready);
    }

    // Guards against a second membership change while one that the former
    // leader began may still be committed.
    void new_leader_refuses_membership_changes()
    {
        consensus_harness group(3, 10);
        auto const old = elected_leader(group);
        group.isolate(old);
        while (!group.leader() || group.leader() == old)
        {
            group.run(1);
        }
        auto const id = group.change(
            *group.leader(), membership_change_kind::add_learner, member_id(9));
        CPPUNIT_ASSERT(group.outcome_of(id).rejected ==
                       result_code::membership_change_in_progress);
    }

    // Guards against committing an entry of an earlier term by counting
    // replicas: a leader of a later term could still replace it.
    void entry_of_an_earlier_term_is_not_counted()
    {
        auto state = bootstrap_state({{{member_id(1), {}, {}, false},
                                       {member_id(2), {}, {}, false},
                                       {member_id(3), {}, {}, false}}});
        state.hard.current_term = core::term(2);
        state.entries.push_back({core::term(2), core::log_index(2), {}, "x"});
        raft_options options;
        options.self = member_id(1);
        raft_node node(options, state, core::seeded_random(1), {});
        auto const late = core::time_point(std::chrono::seconds(5));
        auto const receive = [&](auto body)
        {
            node.handle(
                late,
                message{{member_id(2), member_id(1), core::term(3), body}});
        };
        node.handle(late, tick{});
        receive(core::vote_answer{true, true});
        receive(core::vote_answer{true, false});
        CPPUNIT_ASSERT(node.role() == member_role::leader);
        receive(core::append_answer{true, core::log_index(2), 1});
        CPPUNIT_ASSERT_EQUAL(core::log_index(0), node.commit_index());
        node.handle(late, persisted{core::log_index(3), core::term(3)});
        receive(core::append_answer{true, core::log_index(3), 1});
        CPPUNIT_ASSERT_EQUAL(core::log_index(3), node.commit_index());
    }

    // Guards against a second vote in the same term after a crash, because the
    // first one was sent before it was durable.
    void vote_is_sent_after_it_is_durable()
    {
        raft_options options;
        options.self = member_id(1);
        raft_node node(options, {}, core::seeded_random(1), {});
        core::vote_request const request{core::log_index(1), core::term(1)};
        auto const outputs = node.handle(
            {}, message{{member_id(2), member_id(1), core::term(4), request}});
        core::hard_state durable;
        core::hard_state const expected{core::term(4), member_id(2)};
        bool voted = false;
        for (auto const& output : outputs)
        {
            if (auto const* hard = std::get_if<persist_hard_state>(&output))
            {
                durable = hard->state;
            }
            else if (std::holds_alternative<send>(output))
            {
                voted = true;
                CPPUNIT_ASSERT(durable == expected);
            }
        }
        CPPUNIT_ASSERT(voted);
    }

    // Guards against a delayed snapshot that discards newer stored entries.
    void snapshot_does_not_replace_a_newer_log()
    {
        auto state = bootstrap_state({{{member_id(1), {}, {}, false}}});
        state.entries.push_back({core::term(1), core::log_index(2), {}, "x"});
        state.entries.push_back({core::term(1), core::log_index(3), {}, "y"});
        raft_options options;
        options.self = member_id(1);
        raft_node node(options, state, core::seeded_random(1), {});
        core::snapshot_chunk const chunk{
            {core::log_index(2), core::term(1), {}}, 0, "state", true};
        message const input{{member_id(2), member_id(1), core::term(1), chunk}};
        for (int copy = 0; copy < 2; ++copy)
        {
            for (auto const& output : node.handle({}, input))
            {
                CPPUNIT_ASSERT(
                    !std::holds_alternative<install_snapshot>(output));
            }
            CPPUNIT_ASSERT_EQUAL(core::log_index(2), node.commit_index());
        }
    }

    // Guards against acknowledging an entry because a truncated one that was
    // at the same index before has been synced.
    void sync_of_a_replaced_entry_is_ignored()
    {
        raft_options options;
        options.self = member_id(1);
        raft_node node(options, {}, core::seeded_random(1), {});
        for (std::uint64_t term = 1; term <= 2; ++term)
        {
            core::append_request request;
            request.entries.push_back(
                {core::term(term), core::log_index(1), {}, "x"});
            node.handle(
                {},
                message{
                    {member_id(2), member_id(1), core::term(term), request}});
        }
        auto const late = persisted{core::log_index(1), core::term(1)};
        CPPUNIT_ASSERT(node.handle({}, late).empty());
        auto const right = persisted{core::log_index(1), core::term(2)};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), node.handle({}, right).size());
    }

    // Guards against copies of an append that share a slow link with the first
    // one until none arrives. One entry takes 1 s on the link, and appends are
    // overdue after 0.09 s.
    void large_entry_commits_over_slow_links()
    {
        consensus_harness group(3, 11);
        auto const at = elected_leader(group);
        for (auto const id : group.members())
        {
            group.slow_down(id, 4);
        }
        auto const large = group.propose(at, 400);
        auto const small = group.propose(at);
        group.run(4 * settle_steps);
        CPPUNIT_ASSERT(group.outcome_of(large).applied.has_value());
        CPPUNIT_ASSERT(group.outcome_of(small).applied.has_value());
        CPPUNIT_ASSERT(group.leader() == at);
    }

    // Guards against a queue of messages that outlives the overload of the
    // links, and against one that grows while it lasts.
    void overload_ends_with_its_cause()
    {
        consensus_harness group(3, 12);
        auto const at = elected_leader(group);
        for (auto const id : group.members())
        {
            group.slow_down(id, 1);
        }
        std::uint64_t last = 0;
        for (int i = 0; i < 20; ++i)
        {
            last = group.propose(at, 200);
            group.run(10);
            for (auto const& status : group.node(at)->replication())
            {
                CPPUNIT_ASSERT(status.in_flight_bytes <=
                               consensus_harness::max_in_flight_bytes);
            }
        }
        for (auto const id : group.members())
        {
            group.slow_down(id, 0);
        }
        group.run(8 * settle_steps);
        CPPUNIT_ASSERT(group.outcome_of(last).applied.has_value());
        CPPUNIT_ASSERT(group.leader() == at);
    }

    // Guards against a leader that stays in office for as long as its
    // heartbeats are answered, although its entries do not arrive.
    void leader_that_cannot_commit_hands_over()
    {
        consensus_harness group(3, 13);
        auto const at = elected_leader(group);
        group.slow_down(at, 1);
        auto const large = group.propose(at, 5000);
        group.run(4 * settle_steps);
        CPPUNIT_ASSERT(group.leader() == at);
        group.run(2 * settle_steps);
        CPPUNIT_ASSERT(group.leader().has_value());
        CPPUNIT_ASSERT(group.leader() != at);
        CPPUNIT_ASSERT(group.outcome_of(large).rejected ==
                       result_code::outcome_unknown);
        auto const next = group.propose(*group.leader());
        group.run(settle_steps);
        CPPUNIT_ASSERT(group.outcome_of(next).applied.has_value());
    }

    // Guards against a second copy of an append or fragment while the transport
    // still holds the first, against none after its call has failed or its
    // acknowledgement is missing, and against repetition without back-off.
    void append_under_way_is_not_sent_again()
    {
        auto const member = [](std::uint64_t id) {
            return core::group_member{member_id(id), {}, {}, false};
        };
        raft_options options;
        options.self = member_id(1);
        raft_node node(options,
                       bootstrap_state({{member(1), member(2), member(3)}}),
                       core::seeded_random(1),
                       {});
        auto now = core::time_point(std::chrono::seconds(5));
        std::vector<delivery_id> sent;
        auto const feed = [&](event const& input)
        {
            for (auto const& output : node.handle(now, input))
            {
                auto const* const message = std::get_if<send>(&output);
                if (message != nullptr && message->content.to == member_id(2) &&
                    message->delivery != delivery_id())
                {
                    sent.push_back(message->delivery);
                }
            }
        };
        auto const answer = [&](auto body)
        {
            feed(message{
                {member_id(2), member_id(1), core::term(2), std::move(body)}});
        };
        auto const pass = [&](core::duration time)
        {
            for (auto const end = now + time; now < end;)
            {
                now += std::chrono::milliseconds(50);
                answer(core::fragment_answer{});
                feed(tick{});
            }
        };
        feed(tick{});
        answer(core::vote_answer{true, true});
        answer(core::vote_answer{true, false});
        CPPUNIT_ASSERT(node.role() == member_role::leader);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        pass(std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        feed(delivery_ended{sent.back(), false});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sent.size());
        feed(delivery_ended{sent.back(), false});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sent.size());
        pass(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), sent.size());
        feed(delivery_ended{sent.back(), true});
        pass(std::chrono::milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), sent.size());
        pass(std::chrono::milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), sent.size());
    }

    // Guards against a follower that stays behind for many seconds after a
    // crash. It had received many entries, each in a message of its own, and
    // lost them before its slow disk synced them. While it is behind, the loss
    // of another member stops all commits.
    void follower_that_lost_unsynced_entries_catches_up()
    {
        core::group_membership members;
        for (std::uint64_t i = 1; i <= 3; ++i)
        {
            members.members.push_back({member_id(i), {}, {}, false});
        }
        consensus_harness group(members, raft_options(), 1);
        group.run(3 * settle_steps);
        CPPUNIT_ASSERT(group.leader().has_value());
        auto const leader = *group.leader();
        auto const behind = other_than(group, leader);
        group.stall_disk(behind, true);
        for (int i = 0; i < 100; ++i)
        {
            group.propose(leader);
            group.run(1);
        }
        group.run(settle_steps / 5);
        group.restart(behind);
        group.run(4 * settle_steps);
        CPPUNIT_ASSERT(group.leader() == leader);
        CPPUNIT_ASSERT(group.applied(behind) ==
                       group.oracle().last_committed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(raft_node_test);

} // namespace turmericswitch::consensus
