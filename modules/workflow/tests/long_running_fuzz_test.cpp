#include "dispatch_simulation.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::workflow
{

/// Long-running workflows under faults. Besides the other invariants, each
/// long-running task must run again soon if there is room for it.
class long_running_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(long_running_fuzz_test);
    CPPUNIT_TEST(long_running_tasks_run_where_there_is_room);
    CPPUNIT_TEST_SUITE_END();

public:
    void long_running_tasks_run_where_there_is_room()
    {
        ::turmericswitch::testing::check_property(
            "long-running tasks run where there is room",
            {1, 30, 100},
            []
            {
                auto const seed = *rc::gen::arbitrary<std::uint64_t>();
                testing::dispatch_simulation simulation(seed, deployed());
                auto const violation = simulation.simulate_long_running();
                RC_ASSERT(violation == std::string());
            });
    }

private:
    /// The leases of the deployments, and enough workers for some to be lost.
    static testing::simulation_setup deployed()
    {
        constexpr std::size_t workers = 6;
        return {{std::chrono::seconds(10), std::chrono::seconds(6)}, workers};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_running_fuzz_test);

} // namespace turmericswitch::workflow
