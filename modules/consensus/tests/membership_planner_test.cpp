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

/// Guards the group's self-repair: a lost disk or instance must not leave the
/// group one loss away from its end, and no live member may be thrown out.
class membership_planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_planner_test);
    CPPUNIT_TEST(whole_group_needs_no_change);
    CPPUNIT_TEST(instance_with_a_lost_disk_replaces_itself);
    CPPUNIT_TEST(instance_at_another_address_replaces_a_silent_one);
    CPPUNIT_TEST(silent_voter_stays_while_nobody_replaces_it);
    CPPUNIT_TEST(learner_that_is_silent_is_dropped);
    CPPUNIT_TEST(eighth_instance_stands_by);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_view = {};
        m_view.self = core::member_id(1);
        m_view.members.members = {member(1, "10.0.0.1", false),
                                  member(2, "10.0.0.2", false),
                                  member(3, "10.0.0.3", false)};
        m_silent.clear();
    }

    void whole_group_needs_no_change()
    {
        CPPUNIT_ASSERT(!step());
    }

    void instance_with_a_lost_disk_replaces_itself()
    {
        m_silent = {3};
        m_view.members.members.push_back(member(100, "10.0.0.3", true));
        expect(membership_change_kind::promote, 100);
        m_view.members.members.back().learner = false;
        expect(membership_change_kind::remove, 3);
        std::erase_if(m_view.members.members,
                      [](core::group_member const& each)
                      { return each.id == core::member_id(3); });
        CPPUNIT_ASSERT(!step());
    }

    void instance_at_another_address_replaces_a_silent_one()
    {
        m_silent = {3};
        m_view.members.members.push_back(member(100, "10.0.0.9", true));
        expect(membership_change_kind::promote, 100);
        m_view.members.members.back().learner = false;
        expect(membership_change_kind::remove, 3);
    }

    // Without it a second loss would end the group.
    void silent_voter_stays_while_nobody_replaces_it()
    {
        m_silent = {3};
        CPPUNIT_ASSERT(!step());
    }

    void learner_that_is_silent_is_dropped()
    {
        m_silent = {100};
        m_view.members.members.push_back(member(100, "10.0.0.9", true));
        expect(membership_change_kind::remove, 100);
    }

    void eighth_instance_stands_by()
    {
        for (std::uint64_t id = 4; id <= 7; ++id)
        {
            m_view.members.members.push_back(
                member(id, "10.0.0." + std::to_string(id), false));
        }
        m_view.members.members.push_back(member(100, "10.0.0.9", true));
        CPPUNIT_ASSERT(!step());
        m_silent = {5};
        expect(membership_change_kind::remove, 5);
    }

private:
    std::optional<membership_change> step()
    {
        m_view.last_answers.clear();
        for (auto const& each : m_view.members.members)
        {
            bool const is_silent = m_silent.contains(each.id.value());
            m_view.last_answers[each.id] =
                is_silent ? now - std::chrono::minutes(1)
                          : now - std::chrono::milliseconds(100);
        }
        return next_membership_change(m_view, {}, now);
    }

    void expect(membership_change_kind kind, std::uint64_t id)
    {
        auto const found = step();
        CPPUNIT_ASSERT(found.has_value());
        CPPUNIT_ASSERT(found->kind == kind);
        CPPUNIT_ASSERT_EQUAL(id, found->member.id.value());
    }

    membership_view m_view;
    std::set<std::uint64_t> m_silent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_planner_test);

} // namespace turmericswitch::consensus
