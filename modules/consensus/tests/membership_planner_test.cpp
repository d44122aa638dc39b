#include "consensus/membership/membership_planner.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace turmericswitch::consensus
{

namespace
{

core::group_member member(std::uint64_t id, std::string address, bool learner)
{
    return {core::member_id(id),
            {address, 7720},
            {std::move(address), 8080},
            learner};
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
    CPPUNIT_TEST(instance_at_another_address_replaces_an_unresponsive_one);
    CPPUNIT_TEST(unresponsive_voter_stays_without_a_replacement);
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
    }

    void healthy_group_needs_no_change()
    {
        CPPUNIT_ASSERT(!next_change());
    }

    void instance_with_a_lost_disk_replaces_itself()
    {
        m_unresponsive = {3};
        m_view.members.members.push_back(member(100, "10.0.0.3", true));
        expect(membership_change_kind::promote, 100);
        m_view.members.members.back().learner = false;
        expect(membership_change_kind::remove, 3);
        std::erase_if(m_view.members.members,
                      [](core::group_member const& each)
                      { return each.id == core::member_id(3); });
        CPPUNIT_ASSERT(!next_change());
    }

    void instance_at_another_address_replaces_an_unresponsive_one()
    {
        m_unresponsive = {3};
        m_view.members.members.push_back(member(100, "10.0.0.9", true));
        expect(membership_change_kind::promote, 100);
        m_view.members.members.back().learner = false;
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
        m_view.members.members.push_back(member(100, "10.0.0.9", true));
        expect(membership_change_kind::remove, 100);
    }

    void eighth_instance_stays_a_learner()
    {
        for (std::uint64_t id = 4; id <= 7; ++id)
        {
            m_view.members.members.push_back(
                member(id, "10.0.0." + std::to_string(id), false));
        }
        m_view.members.members.push_back(member(100, "10.0.0.9", true));
        CPPUNIT_ASSERT(!next_change());
        m_unresponsive = {5};
        expect(membership_change_kind::remove, 5);
    }

private:
    std::optional<membership_change> next_change()
    {
        m_view.last_answers.clear();
        for (auto const& each : m_view.members.members)
        {
            bool const is_unresponsive =
                m_unresponsive.contains(each.id.value());
            m_view.last_answers[each.id] =
                is_unresponsive ? now - std::chrono::minutes(1)
                                : now - std::chrono::milliseconds(100);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_planner_test);

} // namespace turmericswitch::consensus
