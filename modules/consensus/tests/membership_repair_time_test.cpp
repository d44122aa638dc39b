#include "support/membership_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <initializer_list>

namespace turmericswitch::consensus
{

class membership_repair_time_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_repair_time_test);
    CPPUNIT_TEST(three_instances_replace_a_machine_in_time);
    CPPUNIT_TEST(five_instances_replace_a_machine_in_time);
    CPPUNIT_TEST_SUITE_END();

    // Guard against a lost machine that stays a voter for longer than callers
    // wait. These seeds of membership_fuzz_test change the leader while the
    // machine is being replaced.
    void three_instances_replace_a_machine_in_time()
    {
        run_seeds(3, {25, 499, 635, 2150});
    }

    void five_instances_replace_a_machine_in_time()
    {
        run_seeds(5, {954, 2324});
    }

    void run_seeds(std::size_t instances,
                   std::initializer_list<std::uint64_t> seeds)
    {
        for (auto const seed : seeds)
        {
            testing::membership_simulation(instances, seed).run();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_repair_time_test);

} // namespace turmericswitch::consensus
