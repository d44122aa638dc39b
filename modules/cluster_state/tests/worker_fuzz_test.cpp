#include "cluster_state/tests/fake_cluster.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::cluster_state
{

namespace
{

/// Runs simulated clusters with faults and fails on a violation of one
/// invariant.
///
/// @param invariant Prefix of the texts in `fake_cluster::violations`.
void check_invariant(std::string const& invariant, std::uint64_t seed)
{
    std::size_t finished = 0;
    testing::check_property(
        invariant,
        {.seed = seed, .max_success = 12},
        [&]
        {
            fake_cluster cluster(
                *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
            cluster.run(std::chrono::seconds(60));
            for (auto const& each : cluster.violations())
            {
                RC_ASSERT((each.starts_with(invariant) ? each : "") ==
                          std::string());
            }
            finished += cluster.finished();
        });
    CPPUNIT_ASSERT(finished > 100);
}

} // namespace

class worker_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_fuzz_test);
    CPPUNIT_TEST(no_job_on_two_workers);
    CPPUNIT_TEST(capacity_is_never_exceeded);
    CPPUNIT_TEST(no_start_in_a_zone_that_is_out);
    CPPUNIT_TEST(finished_jobs_never_start_again);
    CPPUNIT_TEST(ended_jobs_stay_ended);
    CPPUNIT_TEST(resume_uses_the_last_checkpoint);
    CPPUNIT_TEST(checkpoints_never_go_back);
    CPPUNIT_TEST(all_jobs_end);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a task that runs twice at a time (invariant 2).
    void no_job_on_two_workers()
    {
        check_invariant("single execution", 21);
    }

    // Guards against reserving more than a worker's capacity (invariant 1).
    void capacity_is_never_exceeded()
    {
        check_invariant("capacity", 22);
    }

    // Guards against starts in a zone that is out of service (invariant 4).
    void no_start_in_a_zone_that_is_out()
    {
        check_invariant("zone out", 23);
    }

    // Guards against a finished job that runs again.
    void finished_jobs_never_start_again()
    {
        check_invariant("completed once", 24);
    }

    // Guards against an ended job, for example a cancelled one, that changes
    // its state again.
    void ended_jobs_stay_ended()
    {
        check_invariant("final stays final", 25);
    }

    // Guards against a start order without the job's last checkpoint or for a
    // stale attempt (invariant 3).
    void resume_uses_the_last_checkpoint()
    {
        check_invariant("resume", 26);
    }

    // Guards against a late heartbeat that restores an old checkpoint.
    void checkpoints_never_go_back()
    {
        check_invariant("checkpoint", 27);
    }

    // Guards against jobs that never end after the faults have ended.
    void all_jobs_end()
    {
        check_invariant("liveness", 28);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_fuzz_test);

} // namespace turmericswitch::cluster_state
