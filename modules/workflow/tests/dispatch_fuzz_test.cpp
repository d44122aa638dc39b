#include "dispatch_simulation.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace turmericswitch::workflow
{

/// Random simulations with faults. The invariants in
/// `dispatch_simulation::check` are: at most one run of a task at a time,
/// capacity, order of stages, limits per worker, and only submitted work. In
/// addition every job must end.
class dispatch_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatch_fuzz_test);
    CPPUNIT_TEST(invariants_hold_under_faults);
    CPPUNIT_TEST(jobs_complete_despite_faults);
    CPPUNIT_TEST(jobs_complete_with_overload_decisions);
    CPPUNIT_TEST(invariants_hold_under_crashes);
    CPPUNIT_TEST(invariants_hold_beside_long_running_crashes);
    CPPUNIT_TEST(invariants_hold_with_copies);
    CPPUNIT_TEST(invariants_hold_with_optional_placement);
    CPPUNIT_TEST(invariants_hold_with_cut_lists_of_ends);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariants_hold_under_faults()
    {
        ::turmericswitch::testing::check_property(
            "invariants hold under faults",
            {1, 60, 100},
            []
            {
                auto const seed = *rc::gen::arbitrary<std::uint64_t>();
                testing::dispatch_simulation simulation(seed);
                auto const violation = simulation.simulate();
                RC_ASSERT(violation == std::string());
            });
    }

    // Guards against a dispatcher that completes no jobs, which would violate
    // none of the invariants.
    void jobs_complete_despite_faults()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            testing::dispatch_simulation simulation(seed);
            CPPUNIT_ASSERT_EQUAL(std::string(), simulation.simulate());
            CPPUNIT_ASSERT(simulation.completed() > 20);
        }
    }

    // Guards against ranks, paces and evictions that break an invariant or keep
    // a job from its end.
    void jobs_complete_with_overload_decisions()
    {
        testing::simulation_setup setup;
        setup.overload.order = true;
        setup.overload.pace = true;
        setup.overload.preemption = true;
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            testing::dispatch_simulation simulation(seed, setup);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                         std::string(),
                                         simulation.simulate());
            CPPUNIT_ASSERT(simulation.completed() > 20);
        }
    }

    // Tasks that crash each worker that starts them, several at once, with
    // leaders deposed at that moment. Guards against such a task that is
    // started again and again, against jobs that are failed for the crashes of
    // others, and against jobs that never end.
    void invariants_hold_under_crashes()
    {
        std::size_t crashes = 0;
        for (std::uint64_t seed = 1; seed <= crash_seeds(); ++seed)
        {
            testing::simulation_setup setup;
            setup.deadly_percent = 10;
            testing::dispatch_simulation simulation(seed, setup);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                         std::string(),
                                         simulation.simulate());
            crashes += simulation.crashes();
        }
        CPPUNIT_ASSERT(crashes > crash_seeds());
    }

    // Long-running tasks that crash each worker that starts them. Guards
    // against such a job that is given up, and against one that keeps the
    // workers from ending the other jobs.
    void invariants_hold_beside_long_running_crashes()
    {
        std::size_t crashes = 0;
        std::string violations;
        for (std::uint64_t seed = 1; seed <= crash_seeds(); ++seed)
        {
            testing::simulation_setup setup;
            setup.workers = 6;
            setup.deadly_percent = 30;
            setup.long_running_jobs = 4;
            testing::dispatch_simulation simulation(seed, setup);
            auto const violation = simulation.simulate();
            if (!violation.empty())
            {
                violations +=
                    "seed " + std::to_string(seed) + ": " + violation + '\n';
            }
            crashes += simulation.crashes();
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
        CPPUNIT_ASSERT(crashes > crash_seeds());
    }

    // Faults, crashes and slow runs while half of the stages may be copied.
    // Guards against a third run, an overcommitted worker, a remaining run that
    // is never stopped, and copies that multiply the crashes of a task.
    void invariants_hold_with_copies()
    {
        std::size_t copies = 0;
        for (std::uint64_t seed = 1; seed <= crash_seeds(); ++seed)
        {
            testing::simulation_setup setup;
            setup.has_copies = true;
            setup.deadly_percent = seed % 2 == 0 ? 10 : 0;
            testing::dispatch_simulation simulation(seed, setup);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                         std::string(),
                                         simulation.simulate());
            copies += simulation.copies();
        }
        CPPUNIT_ASSERT(copies > crash_seeds());
    }

    // Guards against jobs that wait for ever behind workers that are kept for
    // others, and against capacity that is given twice.
    void invariants_hold_with_optional_placement()
    {
        testing::simulation_setup setup;
        setup.placement.packing = true;
        setup.placement.speed = true;
        setup.placement.moves = true;
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            testing::dispatch_simulation simulation(seed, setup);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                         std::string(),
                                         simulation.simulate());
        }
    }

    // Workers list one to three ends at a time, so that most lists are cut.
    // Guards against runs that are started again because their ends are not in
    // the list at hand, and against runs that are never found to have ended.
    void invariants_hold_with_cut_lists_of_ends()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed)
        {
            testing::simulation_setup setup;
            setup.ends_per_answer = 1 + seed % 3;
            testing::dispatch_simulation simulation(seed, setup);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                         std::string(),
                                         simulation.simulate());
        }
    }

private:
    static std::uint64_t crash_seeds()
    {
        auto const* const given = std::getenv("CRASH_SEEDS");
        return given == nullptr ? 20 : std::stoull(given);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_fuzz_test);

} // namespace turmericswitch::workflow
