#include "settings/control_settings.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace turmericswitch::control
{

class control_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_settings_test);
    CPPUNIT_TEST(lease_does_not_grow_with_the_longest_one);
    CPPUNIT_TEST(lease_is_at_most_the_longest_one);
    CPPUNIT_TEST(copies_are_off_unless_set);
    CPPUNIT_TEST(placement_features_are_off_unless_enabled);
    CPPUNIT_TEST(first_members_do_not_depend_on_the_order_of_the_seeds);
    CPPUNIT_TEST_SUITE_END();

public:
    // The tasks of a lost worker wait for the end of its lease. If the lease
    // grew with the longest one that workers accept, they would wait longer
    // although operators asked for nothing.
    void lease_does_not_grow_with_the_longest_one()
    {
        CPPUNIT_ASSERT(lease_with("longest_lease = 10s\n") ==
                       std::chrono::seconds(6));
        CPPUNIT_ASSERT(lease_with("longest_lease = 10s\nlease = 9s\n") ==
                       std::chrono::seconds(9));
    }

    void lease_is_at_most_the_longest_one()
    {
        CPPUNIT_ASSERT(lease_with("longest_lease = 4s\n") ==
                       std::chrono::seconds(4));
    }

    // Earlier deployments must be served as before.
    void copies_are_off_unless_set()
    {
        settings::settings_reader none("control.ini", "[workers]\n");
        CPPUNIT_ASSERT(!parse_control_settings(none).dispatch.copies.enabled);
        settings::settings_reader set("control.ini",
                                      "[placement]\ncopies = yes\n");
        CPPUNIT_ASSERT(parse_control_settings(set).dispatch.copies.enabled);
    }

    // A feature that is on by default would change earlier deployments.
    void placement_features_are_off_unless_enabled()
    {
        CPPUNIT_ASSERT(!placement_with("").packing);
        CPPUNIT_ASSERT(placement_with("packing = yes\n").packing);
        CPPUNIT_ASSERT(!placement_with("packing = yes\n").speed);
        CPPUNIT_ASSERT(placement_with("speed = yes\n").speed);
        CPPUNIT_ASSERT(!placement_with("speed = yes\n").moves);
        CPPUNIT_ASSERT(placement_with("moves = yes\n").moves);
    }

    // Guards against instances that begin with different memberships, and
    // against a seed that is listed twice and counts as two voters.
    void first_members_do_not_depend_on_the_order_of_the_seeds()
    {
        auto const sorted =
            first_members("10.1.0.30:1, 10.2.0.38:1, 10.3.0.19:1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), sorted.members.size());
        CPPUNIT_ASSERT(sorted.members[0].id < sorted.members[1].id);
        CPPUNIT_ASSERT(sorted.members[1].id < sorted.members[2].id);
        CPPUNIT_ASSERT(first_members("10.3.0.19:1, 10.1.0.30:1, 10.2.0.38:1, "
                                     "10.1.0.30:1") == sorted);
    }

private:
    static core::group_membership first_members(std::string const& seeds)
    {
        settings::settings_reader reader("control.ini",
                                         "[control]\nseeds = " + seeds + "\n");
        return parse_control_settings(reader).first_members;
    }

    static workflow::placement_options
    placement_with(std::string const& placement)
    {
        settings::settings_reader reader("control.ini",
                                         "[placement]\n" + placement);
        return parse_control_settings(reader).dispatch.placement;
    }

    /// @return The lease that the section `workers` results in.
    static core::duration lease_with(std::string const& workers)
    {
        settings::settings_reader reader("control.ini",
                                         "[workers]\n" + workers);
        return parse_control_settings(reader).dispatch.leases.length;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_settings_test);

} // namespace turmericswitch::control
