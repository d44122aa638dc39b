#include "dispatch_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <string>

namespace turmericswitch::workflow
{

/// Simulations with workers that refuse, fail or don't answer a share of their
/// calls for some seconds, together with the other faults and with sidecars
/// that restart right after they have sent a start.
///
/// Each call is drawn by itself. So a start that has begun a run, or that will
/// begin it seconds later, is followed by refusals of the calls that repeat it,
/// of the same sidecar and of the next one. All of them guard against a run
/// that is started elsewhere because one of its calls was refused.
///
/// Set by the environment: UNHEALTHY_SEEDS and UNHEALTHY_FIRST_SEED, of each
/// kind.
class unhealthy_worker_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unhealthy_worker_fuzz_test);
    CPPUNIT_TEST(invariants_hold_with_unhealthy_workers);
    CPPUNIT_TEST(invariants_hold_with_restarts_of_sidecars);
    CPPUNIT_TEST(invariants_hold_with_cut_lists_of_ends);
    CPPUNIT_TEST(invariants_hold_with_copies);
    CPPUNIT_TEST(invariants_hold_with_overload_decisions);
    CPPUNIT_TEST(invariants_hold_with_crashes);
    CPPUNIT_TEST(invariants_hold_with_lone_restarts);
    CPPUNIT_TEST(long_running_tasks_run_where_there_is_room);
    CPPUNIT_TEST_SUITE_END();

public:
    // Sidecars restart only by themselves.
    void invariants_hold_with_unhealthy_workers()
    {
        expect_no_violation(
            [](std::uint64_t)
            {
                testing::simulation_setup setup;
                setup.unhealthy_percent = unhealthy_percent;
                return setup;
            });
    }

    void invariants_hold_with_restarts_of_sidecars()
    {
        expect_no_violation([](std::uint64_t) { return unhealthy(); });
    }

    // Guards also against an end that is missing in a cut list, of a run whose
    // start was refused when it was repeated.
    void invariants_hold_with_cut_lists_of_ends()
    {
        expect_no_violation(
            [](std::uint64_t seed)
            {
                auto setup = unhealthy();
                setup.ends_per_answer = 1 + seed % 3;
                return setup;
            });
    }

    void invariants_hold_with_copies()
    {
        expect_no_violation(
            [](std::uint64_t)
            {
                auto setup = unhealthy();
                setup.has_copies = true;
                return setup;
            });
    }

    // Ranks, paces, evictions and moves stop runs, with stops that are refused
    // or lost.
    void invariants_hold_with_overload_decisions()
    {
        expect_no_violation(
            [](std::uint64_t)
            {
                auto setup = unhealthy();
                setup.overload.order = true;
                setup.overload.pace = true;
                setup.overload.preemption = true;
                setup.placement.packing = true;
                setup.placement.speed = true;
                setup.placement.moves = true;
                return setup;
            });
    }

    void invariants_hold_with_crashes()
    {
        expect_no_violation(
            [](std::uint64_t)
            {
                auto setup = unhealthy();
                setup.deadly_percent = 10;
                return setup;
            });
    }

    void invariants_hold_with_lone_restarts()
    {
        expect_no_violation(
            [](std::uint64_t)
            {
                auto setup = unhealthy();
                setup.workers = 6;
                setup.long_running_jobs = 6;
                setup.lone_restart_percent = 8;
                return setup;
            });
    }

    void long_running_tasks_run_where_there_is_room()
    {
        expect_no_violation(
            [](std::uint64_t)
            {
                auto setup = unhealthy();
                setup.leases = {std::chrono::seconds(10),
                                std::chrono::seconds(6)};
                setup.workers = 6;
                return setup;
            },
            &testing::dispatch_simulation::simulate_long_running);
    }

private:
    static constexpr std::uint64_t unhealthy_percent = 10;

    using setup_of_seed =
        std::function<testing::simulation_setup(std::uint64_t seed)>;

    static testing::simulation_setup unhealthy()
    {
        testing::simulation_setup setup;
        setup.unhealthy_percent = unhealthy_percent;
        setup.restart_after_start_percent = 5;
        return setup;
    }

    static void expect_no_violation(
        setup_of_seed const& setup_of,
        std::string (testing::dispatch_simulation::*simulate)() =
            &testing::dispatch_simulation::simulate)
    {
        std::string violations;
        for (auto seed = first_seed(); seed < first_seed() + seeds(); ++seed)
        {
            testing::dispatch_simulation simulation(seed, setup_of(seed));
            auto const violation = (simulation.*simulate)();
            if (!violation.empty())
            {
                violations +=
                    "seed " + std::to_string(seed) + ": " + violation + '\n';
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
    }

    static std::uint64_t environment_or(char const* name,
                                        std::uint64_t otherwise)
    {
        auto const* const given = std::getenv(name);
        return given == nullptr ? otherwise : std::stoull(given);
    }

    static std::uint64_t first_seed()
    {
        return environment_or("UNHEALTHY_FIRST_SEED", 1);
    }

    static std::uint64_t seeds()
    {
        return environment_or("UNHEALTHY_SEEDS", 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unhealthy_worker_fuzz_test);

} // namespace turmericswitch::workflow
