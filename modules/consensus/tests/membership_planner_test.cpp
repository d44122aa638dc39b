#include "consensus/membership/membership_planner.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace turmericswitch::consensus
{

namespace
{

core::group_member member(std::uint64_t id,
                          std::string address,
                          bool learner,
                          std::uint64_t added_at = 0)
{
    return {core::member_id(id),
            {address, 7720},
            {std::move(address), 8080},
            learner,
            core::log_index(added_at)};
}

core::time_point const now(std::chrono::minutes(10));

} // namespace

/// Guards against a group that stays one failure away from losing its quorum
/// after a disk or instance was lost, and against the removal of live members.
class membership_planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_planner_test);
    CPPUNIT_TEST(healthy_group_needs_no_change);
    CPPUNIT_TEST(instance_with_a_lost_disk_replaces_itself);
    CPPUNIT_TEST(later_identity_replaces_an_earlier_one_with_a_larger_id);
    CPPUNIT_TEST(learner_that_has_caught_up_does_not_wait_for_another);
    CPPUNIT_TEST(silence_before_the_first_answer_counts_from_the_election);
    CPPUNIT_TEST(instance_at_another_address_replaces_an_unresponsive_one);
    CPPUNIT_TEST(successor_that_has_not_answered_replaces_nobody);
    CPPUNIT_TEST(voter_unheard_since_the_election_is_replaced_sooner);
    CPPUNIT_TEST(unresponsive_voter_stays_without_a_replacement);
    CPPUNIT_TEST(unresponsive_voter_stays_until_its_replacement_has_caught_up);
    CPPUNIT_TEST(unresponsive_learner_is_removed);
    CPPUNIT_TEST(eighth_instance_stays_a_learner);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_view = {};
        m_view.self = core::member_id(1);
        m_view.members.members = {member(1, "10.0.0.1", false),
                                  member(2, "10.0.0.2", false),
                                  member(3, "10.0.0.3", false)};
        m_unresponsive.clear();
        m_silent.clear();
        m_unheard.clear();
        m_behind.clear();
    }

    void healthy_group_needs_no_change()
    {
        CPPUNIT_ASSERT(!next_change());
    }

    // Guards against a group with two identities of one instance among its
    // voters: it needs one more of the others, and losing the disk of that
    // instance again costs it two of four votes.
    void instance_with_a_lost_disk_replaces_itself()
    {
        m_unresponsive = {3};
        m_behind = {100};
        m_view.members.members.push_back(member(100, "10.0.0.3", true, 8));
        expect(membership_change_kind::remove, 3);
        std::erase_if(m_view.members.members,
                      [](core::group_member const& each)
                      { return each.id == core::member_id(3); });
        CPPUNIT_ASSERT(!next_change());
        m_behind.clear();
        expect(membership_change_kind::promote, 100);
        m_view.members.members.back().learner = false;
        CPPUNIT_ASSERT(!next_change());
    }

    // Guards against removing an identity for a join request alone, which may
    // be a late one of an instance that is gone.
    void successor_that_has_not_answered_replaces_nobody()
    {
        m_unheard = {100};
        m_behind = {100};
        m_view.members.members.push_back(member(100, "10.0.0.3", true, 8));
        CPPUNIT_ASSERT(!next_change());
    }

    // Guards against removing the successor instead of the lost identity. Ids
    // of instances that join later are random, so they tell nothing about the
    // order. The lost identity had answered this leader.
    void later_identity_replaces_an_earlier_one_with_a_larger_id()
    {
        m_silent = {100};
        m_view.members.members[2] = member(50, "10.0.0.3", true, 90);
        m_view.members.members.push_back(member(100, "10.0.0.3", false, 8));
        expect(membership_change_kind::remove, 100);
        m_view.members.members.pop_back();
        expect(membership_change_kind::promote, 50);
        m_view.members.members[2].learner = false;
        CPPUNIT_ASSERT(!next_change());
    }

    // Guards against a learner that never catches up, for example behind a slow
    // link, and keeps all others from voting.
    void learner_that_has_caught_up_does_not_wait_for_another()
    {
        m_behind = {100};
        m_view.members.members.push_back(member(100, "10.0.0.8", true, 8));
        CPPUNIT_ASSERT(!next_change());
        m_view.members.members.push_back(member(101, "10.0.0.9", true, 9));
        expect(membership_change_kind::promote, 101);
    }

    // Guards against a leader that has just been elected and takes the silence
    // of those that it has not yet heard for answers.
    void silence_before_the_first_answer_counts_from_the_election()
    {
        m_view.members.members.push_back(member(4, "10.0.0.4", false));
        m_unresponsive = {3};
        m_unheard = {2};
        CPPUNIT_ASSERT(!next_change());
        m_unheard.clear();
        expect(membership_change_kind::remove, 3);
    }

    // Guards against a group of four voters of which one is lost: it bears no
    // further loss until the lost one is removed.
    void instance_at_another_address_replaces_an_unresponsive_one()
    {
        m_silent = {3};
        m_view.members.members.push_back(member(100, "10.0.0.9", true, 8));
        CPPUNIT_ASSERT(!next_change());
        m_silent.clear();
        m_unresponsive = {3};
        expect(membership_change_kind::remove, 3);
        m_view.members.members.erase(m_view.members.members.begin() + 2);
        expect(membership_change_kind::promote, 100);
        m_view.members.members.back().learner = false;
        CPPUNIT_ASSERT(!next_change());
    }

    // Guards against removing a silent voter for a newcomer that has yet to
    // catch up: the group would go on with two voters for as long as that
    // takes.
    void unresponsive_voter_stays_until_its_replacement_has_caught_up()
    {
        m_unresponsive = {3};
        m_behind = {100};
        m_view.members.members.push_back(member(100, "10.0.0.9", true, 8));
        CPPUNIT_ASSERT(!next_change());
    }

    // Guards against a group that stays one failure away from losing its quorum
    // for the time of an election longer: each new leader would wait for the
    // whole timeout again.
    void voter_unheard_since_the_election_is_replaced_sooner()
    {
        m_silent = {3};
        m_view.members.members.push_back(member(100, "10.0.0.9", true, 8));
        CPPUNIT_ASSERT(!next_change());
        m_unheard = {3};
        expect(membership_change_kind::remove, 3);
    }

    // Guards against removing an unresponsive voter too early: a second loss
    // would then leave the group without a quorum.
    void unresponsive_voter_stays_without_a_replacement()
    {
        m_unresponsive = {3};
        CPPUNIT_ASSERT(!next_change());
    }

    void unresponsive_learner_is_removed()
    {
        m_unresponsive = {100};
        m_view.members.members.push_back(member(100, "10.0.0.9", true, 8));
        expect(membership_change_kind::remove, 100);
    }

    void eighth_instance_stays_a_learner()
    {
        for (std::uint64_t id = 4; id <= 7; ++id)
        {
            m_view.members.members.push_back(
                member(id, "10.0.0." + std::to_string(id), false));
        }
        m_view.members.members.push_back(member(100, "10.0.0.9", true, 8));
        CPPUNIT_ASSERT(!next_change());
        m_unresponsive = {5};
        expect(membership_change_kind::remove, 5);
    }

private:
    std::optional<membership_change> next_change()
    {
        m_view.followers.clear();
        for (auto const& each : m_view.members.members)
        {
            auto const id = each.id.value();
            bool const is_unresponsive = m_unresponsive.contains(id);
            core::duration const age =
                is_unresponsive ? core::duration(std::chrono::minutes(1))
                : m_silent.contains(id)
                    ? core::duration(std::chrono::milliseconds(1500))
                    : core::duration(std::chrono::milliseconds(100));
            m_view.followers[each.id] = {
                now - age,
                !is_unresponsive && !m_unheard.contains(id),
                !is_unresponsive && !m_behind.contains(id)};
        }
        return next_membership_change(m_view, {}, now);
    }

    void expect(membership_change_kind kind, std::uint64_t id)
    {
        auto const found = next_change();
        CPPUNIT_ASSERT(found.has_value());
        CPPUNIT_ASSERT(found->kind == kind);
        CPPUNIT_ASSERT_EQUAL(id, found->member.id.value());
    }

    membership_view m_view;
    std::set<std::uint64_t> m_unresponsive;
    /// Members that have been silent for less than the voter timeout.
    std::set<std::uint64_t> m_silent;
    /// Members that have not answered the leader since it was elected.
    std::set<std::uint64_t> m_unheard;
    /// Members that have not caught up.
    std::set<std::uint64_t> m_behind;
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_planner_test);

} // namespace turmericswitch::consensus
