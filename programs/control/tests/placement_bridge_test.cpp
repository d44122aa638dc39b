#include "support/property.hpp"
#include "tests/bridge_world.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::control::testing
{

using core::job_state;
using core::task_event;

class placement_bridge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_bridge_test);
    CPPUNIT_TEST(planner_stays_in_step_with_the_state);
    CPPUNIT_TEST(lost_batch_is_decided_again);
    CPPUNIT_TEST(cancelled_job_in_flight_is_dropped);
    CPPUNIT_TEST(lost_worker_gets_work_when_back);
    CPPUNIT_TEST(retired_worker_gets_no_work);
    CPPUNIT_TEST(silent_worker_that_holds_nothing_is_gone);
    CPPUNIT_TEST(new_leader_counts_holds_of_retired_workers);
    CPPUNIT_TEST(worker_in_unlisted_zone_gets_no_work);
    CPPUNIT_TEST(worker_known_by_alias_follows_its_zone);
    CPPUNIT_TEST(dropped_eviction_is_decided_again);
    CPPUNIT_TEST_SUITE_END();

    // Guards against planner and state drifting apart under any order of
    // events (invariants 1 and 3, and jobs that are never placed).
    void planner_stays_in_step_with_the_state()
    {
        std::size_t ended = 0;
        turmericswitch::testing::check_property(
            "placement bridge",
            {.seed = 41, .max_success = 400},
            [&]
            {
                bridge_world world(
                    *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
                world.disturb(300);
                world.settle(4000);
                for (auto const& each : world.violations)
                {
                    RC_ASSERT(each == std::string());
                }
                ended += world.state.jobs().all().size();
            });
        CPPUNIT_ASSERT(ended > 5000);
    }

    // Guards against a job that is never placed after its batch was lost.
    void lost_batch_is_decided_again()
    {
        bridge_world world;
        world.add_worker("w");
        auto const job = world.submit(amount(8000, 100));
        world.tick();
        CPPUNIT_ASSERT(world.bridge->is_waiting());
        world.lose_batch();
        CPPUNIT_ASSERT(!world.bridge->is_waiting());
        CPPUNIT_ASSERT(world.bridge->reserved_on(core::worker_id("w")) ==
                       core::resources{});
        CPPUNIT_ASSERT(world.place(job));
    }

    // Guards against capacity that stays reserved for a cancelled job.
    void cancelled_job_in_flight_is_dropped()
    {
        bridge_world world;
        world.add_worker("w");
        auto const job = world.submit(amount(8000, 100));
        world.tick();
        world.apply(core::cancel_jobs{{job}});
        world.apply_batch();
        CPPUNIT_ASSERT(world.job(job).state == job_state::cancelled);
        CPPUNIT_ASSERT(world.place(world.submit(amount(8000, 100))));
        CPPUNIT_ASSERT(world.violations.empty());
    }

    // Guards against starts on a silent worker, and against one that stays
    // unused after its return.
    void lost_worker_gets_work_when_back()
    {
        bridge_world world;
        world.add_worker("w");
        world.silent.insert(core::worker_id("w"));
        world.tick(std::chrono::seconds(4));
        auto const job = world.submit(amount(8000, 100));
        CPPUNIT_ASSERT(!world.place(job));
        world.silent.clear();
        CPPUNIT_ASSERT(world.place(job));
    }

    // Guards against starts on a retired worker and against a lost share
    // when it registers again while it still holds a task.
    void retired_worker_gets_no_work()
    {
        bridge_world world;
        world.add_worker("w");
        auto const first = world.submit(amount(5000, 100));
        CPPUNIT_ASSERT(world.place(first));
        world.apply(core::retire_worker{core::worker_id("w")});
        auto const second = world.submit(amount(4000, 100));
        CPPUNIT_ASSERT(!world.place(second));
        world.add_worker("w");
        CPPUNIT_ASSERT(!world.place(second));
        world.report(first, task_event::finished);
        CPPUNIT_ASSERT(world.place(second));
        CPPUNIT_ASSERT(world.violations.empty());
    }

    // Guards against records of workers that never come back, and against
    // retiring one that may still run a task.
    void silent_worker_that_holds_nothing_is_gone()
    {
        bridge_world world;
        world.add_worker("idle");
        world.add_worker("busy", "a", amount(9000, 9000));
        CPPUNIT_ASSERT(world.place(world.submit(amount(9000, 100))));
        world.silent = {core::worker_id("idle"), core::worker_id("busy")};
        world.tick(std::chrono::seconds(4));
        CPPUNIT_ASSERT(world.bridge->gone(world.now).empty());
        world.tick(std::chrono::minutes(11));
        auto const gone = world.bridge->gone(world.now);
        CPPUNIT_ASSERT(gone == std::vector{core::worker_id("idle")});
    }

    // Guards against a new leader that takes a retired worker's share for
    // free when the worker registers again.
    void new_leader_counts_holds_of_retired_workers()
    {
        bridge_world world;
        world.add_worker("w");
        auto const first = world.submit(amount(5000, 100));
        CPPUNIT_ASSERT(world.place(first));
        world.apply(core::retire_worker{core::worker_id("w")});
        world.new_bridge();
        world.add_worker("w");
        CPPUNIT_ASSERT(world.bridge->reserved_on(core::worker_id("w")) ==
                       amount(5000, 100));
        CPPUNIT_ASSERT(!world.place(world.submit(amount(4000, 100))));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             world.state.counters().dropped_placements);
    }

    // Guards against a commit per tick for placements that the state drops.
    void worker_in_unlisted_zone_gets_no_work()
    {
        bridge_world world;
        world.add_worker("w", "elsewhere");
        auto const job = world.submit(amount(1000, 100));
        CPPUNIT_ASSERT(!world.place(job));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             world.state.counters().dropped_placements);
    }

    // Guards against a worker that keeps its tasks, or is offered more, when
    // its zone is taken out under another of its names (invariant 4).
    void worker_known_by_alias_follows_its_zone()
    {
        bridge_world world;
        world.add_worker("w", "az-a");
        world.apply(core::apply_rules{
            core::operator_id("o"),
            world.state.config().current(),
            "name zone short=a asset=az-a # asked by A: test\n"
            "zone a region=n # asked by A: test\n"});
        CPPUNIT_ASSERT(world.place(world.submit(amount(1000, 100)), 2000));
        world.set_zone("a", core::zone_state::out_of_service);
        CPPUNIT_ASSERT(!world.place(world.submit(amount(1000, 100))));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             world.state.counters().dropped_placements);
    }

    // Guards against a task that stays in a leaving zone because the batch
    // with its eviction was lost.
    void dropped_eviction_is_decided_again()
    {
        bridge_world world;
        world.add_worker("w", "a");
        world.add_worker("v", "b");
        auto const job = world.submit(amount(1000, 100));
        CPPUNIT_ASSERT(world.place(job));
        world.report(job, task_event::started);
        auto const zone =
            world.job(job).hold->worker == core::worker_id("w") ? "a" : "b";
        world.set_zone(zone, core::zone_state::out_of_service);
        bool is_lost = false;
        for (int i = 0; i < 300 && !is_lost; ++i)
        {
            is_lost =
                !world.tick(std::chrono::seconds(1)).batch.evictions.empty();
            is_lost ? world.lose_batch() : world.apply_batch();
        }
        CPPUNIT_ASSERT(is_lost);
        for (int i = 0; i < 300 && world.job(job).state == job_state::running;
             ++i)
        {
            world.tick(std::chrono::seconds(1));
            world.apply_batch();
        }
        CPPUNIT_ASSERT(world.job(job).state == job_state::evicting);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_bridge_test);

} // namespace turmericswitch::control::testing
