#include "cluster_state/tests/fake_cluster.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::cluster_state
{

class worker_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_fuzz_test);
    CPPUNIT_TEST(workers_keep_the_invariants_under_faults);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a job on two workers at one time, capacity exceeded, a
    // start in a zone that is out, a job completed or resumed twice, a
    // cancelled job that comes back, and jobs that never end.
    void workers_keep_the_invariants_under_faults()
    {
        std::size_t finished = 0;
        testing::check_property(
            "workers under faults",
            {.seed = 21, .max_success = 12},
            [&finished]
            {
                fake_cluster cluster(*rc::gen::arbitrary<std::uint64_t>());
                cluster.run(std::chrono::seconds(60));
                auto const& found = cluster.violations();
                RC_ASSERT((found.empty() ? "" : found.front()) ==
                          std::string());
                finished += cluster.finished();
            });
        CPPUNIT_ASSERT(finished > 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_fuzz_test);

} // namespace turmericswitch::cluster_state
