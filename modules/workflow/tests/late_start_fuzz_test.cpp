#include "dispatch_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace turmericswitch::workflow
{

/// Simulations in which a call without an answer is executed seconds later by
/// whatever incarnation of the worker is up then, while workers restart alone
/// under their ids and refuse, fail or don't answer their calls, also the first
/// sync call to an incarnation.
///
/// Set by the environment: LATE_START_SEEDS and LATE_START_FIRST_SEED, of each
/// kind; LATE_START_DELAY_S, the longest delay of a call.
class late_start_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_start_fuzz_test);
    CPPUNIT_TEST(no_task_runs_twice_at_the_same_time);
    CPPUNIT_TEST(no_task_begins_after_its_end_in_calm_times);
    CPPUNIT_TEST(no_long_running_task_runs_twice_at_the_same_time);
    CPPUNIT_TEST(no_long_running_task_runs_twice_while_its_worker_flaps);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that is started elsewhere because a stop, a list or
    // a fencing token of one incarnation has shut an unanswered start out: the
    // next incarnation knows none of them, and may execute the start.
    void no_task_runs_twice_at_the_same_time()
    {
        testing::simulation_setup setup;
        setup.longest_delay_over_restarts = longest_delay(12);
        simulate_all(setup);
    }

    // Guards against a task that is done by the second call of its start, and
    // begins again by the first one: it arrives seconds after the end, when its
    // worker has restarted and nothing else was disturbed, so that the end
    // counts as taken note of although it was never acknowledged.
    void no_task_begins_after_its_end_in_calm_times()
    {
        testing::simulation_setup setup;
        setup.only_late_starts_percent = 15;
        setup.longest_delay_over_restarts = longest_delay(12);
        simulate_all(setup);
    }

    // The delay is below the time for which the start of a long-running task
    // may be held back (docs/design/worker-incarnations.md).
    void no_long_running_task_runs_twice_at_the_same_time()
    {
        testing::simulation_setup setup;
        setup.long_running_jobs = 6;
        setup.longest_delay_over_restarts = longest_delay(6);
        simulate_all(setup);
    }

    // Guards against a long-running task that has waited for so long that its
    // next run begins elsewhere, although the start of the last one is only
    // seconds old and its worker goes down and up by turns.
    void no_long_running_task_runs_twice_while_its_worker_flaps()
    {
        testing::simulation_setup setup;
        setup.long_running_jobs = 6;
        setup.flap_after_late_start_percent = 50;
        setup.longest_delay_over_restarts = longest_delay(12);
        simulate_all(setup);
    }

private:
    static void simulate_all(testing::simulation_setup setup)
    {
        setup.workers = 6;
        setup.lone_restart_percent = 30;
        setup.unhealthy_percent = 25;
        setup.restart_after_start_percent = 2;
        std::string violations;
        std::size_t failed = 0;
        std::size_t late_starts = 0;
        auto const first = environment_or("LATE_START_FIRST_SEED", 1);
        auto const count = environment_or("LATE_START_SEEDS", 20);
        for (auto seed = first; seed < first + count; ++seed)
        {
            testing::dispatch_simulation simulation(seed, setup);
            auto const violation = simulation.simulate();
            late_starts += simulation.starts_by_later_incarnations();
            if (!violation.empty())
            {
                ++failed;
                violations +=
                    "seed " + std::to_string(seed) + ": " + violation + '\n';
            }
        }
        std::cerr << count << " seeds, " << failed << " with a violation, "
                  << late_starts << " starts by later incarnations\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
        // Seeds without such a start show nothing.
        CPPUNIT_ASSERT(late_starts > 0);
    }

    static core::duration longest_delay(std::uint64_t otherwise)
    {
        return std::chrono::seconds(
            environment_or("LATE_START_DELAY_S", otherwise));
    }

    static std::uint64_t environment_or(char const* name,
                                        std::uint64_t otherwise)
    {
        auto const* const given = std::getenv(name);
        return given == nullptr ? otherwise : std::stoull(given);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_start_fuzz_test);

} // namespace turmericswitch::workflow
