#include "dispatch_simulation.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::workflow
{

/// Days of faults against the oracle in `dispatch_simulation::check`: one run
/// of a task at a time, capacity, order of stages, limits per worker, only
/// submitted work, and that every job ends.
class dispatch_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatch_fuzz_test);
    CPPUNIT_TEST(no_rule_breaks_under_faults);
    CPPUNIT_TEST(calm_days_complete_their_jobs);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_rule_breaks_under_faults()
    {
        ::turmericswitch::testing::check_property(
            "no rule breaks under faults",
            {1, 60, 100},
            []
            {
                auto const seed = *rc::gen::arbitrary<std::uint64_t>();
                testing::dispatch_simulation world(seed);
                auto const broken = world.simulate();
                RC_ASSERT(broken == std::string());
            });
    }

    // A dispatcher that starts nothing would pass the oracle.
    void calm_days_complete_their_jobs()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            testing::dispatch_simulation world(seed);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.simulate());
            CPPUNIT_ASSERT(world.completed() > 20);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_fuzz_test);

} // namespace turmericswitch::workflow
