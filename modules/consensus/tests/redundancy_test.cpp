#include "consensus/membership/redundancy.hpp"

#include "consensus/node/raft_options.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::consensus
{

namespace
{

core::time_point const now(std::chrono::minutes(10));
core::log_index const last_index(1000);

} // namespace

/// Guards against a group that is shown to bear a loss that would end its
/// quorum, and against an alarm for a healthy group.
class redundancy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(redundancy_test);
    CPPUNIT_TEST(three_healthy_voters_bear_one_loss);
    CPPUNIT_TEST(silent_voter_leaves_none);
    CPPUNIT_TEST(learner_beside_its_lost_identity_leaves_none);
    CPPUNIT_TEST(promoted_learner_restores_the_redundancy);
    CPPUNIT_TEST(five_voters_with_a_silent_one_bear_one);
    CPPUNIT_TEST(new_leader_that_has_heard_nobody_bears_none);
    CPPUNIT_TEST(even_number_of_voters);
    CPPUNIT_TEST(voter_that_lags_does_not_count);
    CPPUNIT_TEST(voter_without_a_status_does_not_count);
    CPPUNIT_TEST(leader_without_a_vote_does_not_count);
    CPPUNIT_TEST(group_without_a_quorum_bears_none);
    CPPUNIT_TEST(lag_is_never_negative);
    CPPUNIT_TEST(default_lag_is_that_of_a_promotion);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_view = {};
        m_view.self = core::member_id(1);
        m_view.last_index = last_index;
        m_view.members.members.push_back({core::member_id(1), {}, {}, false});
    }

    void three_healthy_voters_bear_one_loss()
    {
        add(2, false);
        add(3, false);
        CPPUNIT_ASSERT(found() == (redundancy{3, 3, 0, 1}));
    }

    void silent_voter_leaves_none()
    {
        add(2, false);
        auto& silent = add(3, false);
        silent.last_answer = now - std::chrono::milliseconds(999);
        CPPUNIT_ASSERT(found() == (redundancy{3, 3, 0, 1}));
        silent.last_answer = now - std::chrono::seconds(1);
        CPPUNIT_ASSERT(found() == (redundancy{3, 2, 0, 0}));
    }

    void learner_beside_its_lost_identity_leaves_none()
    {
        add(2, false);
        add(3, false).last_answer = now - std::chrono::seconds(9);
        add(100, true);
        CPPUNIT_ASSERT(found() == (redundancy{3, 2, 1, 0}));
    }

    // Between the removal of the lost identity and the promotion two voters of
    // two are needed.
    void promoted_learner_restores_the_redundancy()
    {
        add(2, false);
        add(100, true);
        CPPUNIT_ASSERT(found() == (redundancy{2, 2, 1, 0}));
        m_view.members.members.back().learner = false;
        m_view.others.back().is_voter = true;
        CPPUNIT_ASSERT(found() == (redundancy{3, 3, 0, 1}));
    }

    void five_voters_with_a_silent_one_bear_one()
    {
        add(2, false);
        add(3, false);
        add(4, false);
        add(5, false).last_answer = now - std::chrono::seconds(2);
        CPPUNIT_ASSERT(found() == (redundancy{5, 4, 0, 1}));
    }

    // Until its first answer a member has the time of the election as that of
    // its last answer.
    void new_leader_that_has_heard_nobody_bears_none()
    {
        add(2, false).has_answered = false;
        add(3, false).has_answered = false;
        CPPUNIT_ASSERT(found() == (redundancy{3, 1, 0, 0}));
    }

    // Guards against counting half of the voters as a quorum.
    void even_number_of_voters()
    {
        add(2, false);
        CPPUNIT_ASSERT(found() == (redundancy{2, 2, 0, 0}));
        add(3, false);
        add(4, false);
        CPPUNIT_ASSERT(found() == (redundancy{4, 4, 0, 1}));
    }

    void voter_that_lags_does_not_count()
    {
        add(2, false);
        auto& behind = add(3, false);
        behind.match = core::log_index(last_index.value() - 100);
        CPPUNIT_ASSERT(found() == (redundancy{3, 3, 0, 1}));
        behind.match = core::log_index(last_index.value() - 101);
        CPPUNIT_ASSERT(found() == (redundancy{3, 3, 0, 0}));
    }

    void voter_without_a_status_does_not_count()
    {
        add(2, false);
        add(3, false);
        m_view.others.pop_back();
        CPPUNIT_ASSERT(found() == (redundancy{3, 2, 0, 0}));
    }

    // A leader that has appended its own removal leads until that is committed.
    void leader_without_a_vote_does_not_count()
    {
        add(2, false);
        add(3, false);
        m_view.members.members.erase(m_view.members.members.begin());
        CPPUNIT_ASSERT(found() == (redundancy{2, 2, 0, 0}));
    }

    // Guards against an unsigned number that wraps.
    void group_without_a_quorum_bears_none()
    {
        m_view.members.members.clear();
        CPPUNIT_ASSERT(found() == redundancy{});
        setUp();
        for (std::uint64_t id = 2; id <= 5; ++id)
        {
            add(id, false).has_answered = false;
        }
        CPPUNIT_ASSERT(found() == (redundancy{5, 1, 0, 0}));
    }

    void lag_is_never_negative()
    {
        auto& status = add(2, false);
        status.match = core::log_index(990);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), lag_of(status, last_index));
        status.match = core::log_index(1001);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), lag_of(status, last_index));
    }

    // Guards against two notions of a member that has caught up.
    void default_lag_is_that_of_a_promotion()
    {
        CPPUNIT_ASSERT_EQUAL(raft_options{}.promotion_lag,
                             redundancy_limits{}.max_lag);
    }

private:
    /// Adds a member that has just answered and has all entries.
    replication_status& add(std::uint64_t id, bool learner)
    {
        m_view.members.members.push_back(
            {core::member_id(id), {}, {}, learner});
        replication_status status;
        status.member = core::member_id(id);
        status.is_voter = !learner;
        status.has_answered = true;
        status.last_answer = now;
        status.match = last_index;
        m_view.others.push_back(status);
        return m_view.others.back();
    }

    redundancy found() const
    {
        return redundancy_of(m_view, {}, now);
    }

    group_view m_view;
};

CPPUNIT_TEST_SUITE_REGISTRATION(redundancy_test);

} // namespace turmericswitch::consensus
