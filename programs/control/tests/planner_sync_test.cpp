#include "support/property.hpp"
#include "tests/planner_sync_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::control::testing
{

using core::job_state;
using core::task_event;

class planner_sync_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planner_sync_test);
    CPPUNIT_TEST(planner_matches_the_state);
    CPPUNIT_TEST(rejected_batch_is_planned_again);
    CPPUNIT_TEST(cancelled_job_in_a_pending_batch_is_dropped);
    CPPUNIT_TEST(lost_worker_gets_work_when_back);
    CPPUNIT_TEST(retired_worker_gets_no_work);
    CPPUNIT_TEST(silent_worker_without_tasks_is_retired);
    CPPUNIT_TEST(new_leader_counts_holds_of_retired_workers);
    CPPUNIT_TEST(worker_in_unlisted_zone_gets_no_work);
    CPPUNIT_TEST(worker_known_by_alias_follows_its_zone);
    CPPUNIT_TEST(rejected_eviction_is_planned_again);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a planner that differs from the replicated state after
    // any order of events, and against jobs that are never placed (invariants
    // 1 and 3).
    void planner_matches_the_state()
    {
        std::size_t ended = 0;
        turmericswitch::testing::check_property(
            "planner sync",
            {.seed = 41, .max_success = 400},
            [&]
            {
                planner_sync_fixture fixture(
                    *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
                fixture.apply_random_events(300);
                fixture.finish_all_jobs(4000);
                for (auto const& each : fixture.violations)
                {
                    RC_ASSERT(each == std::string());
                }
                ended += fixture.state.jobs().all().size();
            });
        CPPUNIT_ASSERT(ended > 5000);
    }

    // Guards against a job that is never placed after its batch was rejected.
    void rejected_batch_is_planned_again()
    {
        planner_sync_fixture fixture;
        fixture.add_worker("w");
        auto const job = fixture.submit(amount(8000, 100));
        fixture.tick();
        CPPUNIT_ASSERT(fixture.planner->has_pending_batch());
        fixture.reject_batch();
        CPPUNIT_ASSERT(!fixture.planner->has_pending_batch());
        CPPUNIT_ASSERT(fixture.planner->reserved_on(core::worker_id("w")) ==
                       core::resources{});
        CPPUNIT_ASSERT(fixture.place(job));
    }

    // Guards against capacity that stays reserved for a cancelled job.
    void cancelled_job_in_a_pending_batch_is_dropped()
    {
        planner_sync_fixture fixture;
        fixture.add_worker("w");
        auto const job = fixture.submit(amount(8000, 100));
        fixture.tick();
        fixture.apply(core::cancel_jobs{{job}});
        fixture.apply_batch();
        CPPUNIT_ASSERT(fixture.job(job).state == job_state::cancelled);
        CPPUNIT_ASSERT(fixture.place(fixture.submit(amount(8000, 100))));
        CPPUNIT_ASSERT(fixture.violations.empty());
    }

    // Guards against placements on a worker that sends no heartbeats, and
    // against one that gets no tasks after its heartbeats resume.
    void lost_worker_gets_work_when_back()
    {
        planner_sync_fixture fixture;
        fixture.add_worker("w");
        fixture.silent.insert(core::worker_id("w"));
        fixture.tick(std::chrono::seconds(4));
        auto const job = fixture.submit(amount(8000, 100));
        CPPUNIT_ASSERT(!fixture.place(job));
        fixture.silent.clear();
        CPPUNIT_ASSERT(fixture.place(job));
    }

    // Guards against placements on a retired worker, and against a planner
    // that does not count the task that the worker still holds when it
    // registers again.
    void retired_worker_gets_no_work()
    {
        planner_sync_fixture fixture;
        fixture.add_worker("w");
        auto const first = fixture.submit(amount(5000, 100));
        CPPUNIT_ASSERT(fixture.place(first));
        fixture.apply(core::retire_worker{core::worker_id("w")});
        auto const second = fixture.submit(amount(4000, 100));
        CPPUNIT_ASSERT(!fixture.place(second));
        fixture.add_worker("w");
        CPPUNIT_ASSERT(!fixture.place(second));
        fixture.report(first, task_event::finished);
        CPPUNIT_ASSERT(fixture.place(second));
        CPPUNIT_ASSERT(fixture.violations.empty());
    }

    // Guards against records of lost workers that are kept forever, and
    // against retiring a worker that may still run a task.
    void silent_worker_without_tasks_is_retired()
    {
        planner_sync_fixture fixture;
        fixture.add_worker("idle");
        fixture.add_worker("busy", "a", amount(9000, 9000));
        CPPUNIT_ASSERT(fixture.place(fixture.submit(amount(9000, 100))));
        fixture.silent = {core::worker_id("idle"), core::worker_id("busy")};
        fixture.tick(std::chrono::seconds(4));
        CPPUNIT_ASSERT(fixture.planner->workers_to_retire(fixture.now).empty());
        fixture.tick(std::chrono::minutes(11));
        auto const retirable = fixture.planner->workers_to_retire(fixture.now);
        CPPUNIT_ASSERT(retirable == std::vector{core::worker_id("idle")});
    }

    // Guards against a new leader that counts a retired worker's reserved
    // capacity as free when the worker registers again.
    void new_leader_counts_holds_of_retired_workers()
    {
        planner_sync_fixture fixture;
        fixture.add_worker("w");
        auto const first = fixture.submit(amount(5000, 100));
        CPPUNIT_ASSERT(fixture.place(first));
        fixture.apply(core::retire_worker{core::worker_id("w")});
        fixture.replace_leader();
        fixture.add_worker("w");
        CPPUNIT_ASSERT(fixture.planner->reserved_on(core::worker_id("w")) ==
                       amount(5000, 100));
        CPPUNIT_ASSERT(!fixture.place(fixture.submit(amount(4000, 100))));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             fixture.state.counters().dropped_placements);
    }

    // Guards against placements that the state machine drops and the planner
    // repeats at every tick, each with a commit.
    void worker_in_unlisted_zone_gets_no_work()
    {
        planner_sync_fixture fixture;
        fixture.add_worker("w", "elsewhere");
        auto const job = fixture.submit(amount(1000, 100));
        CPPUNIT_ASSERT(!fixture.place(job));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             fixture.state.counters().dropped_placements);
    }

    // Guards against a worker that keeps its tasks or gets more when its zone
    // is taken out of service by a name other than the worker's own name for
    // it (invariant 4).
    void worker_known_by_alias_follows_its_zone()
    {
        planner_sync_fixture fixture;
        fixture.add_worker("w", "az-a");
        fixture.apply(core::apply_rules{
            core::operator_id("o"),
            fixture.state.config().current(),
            "name zone short=a asset=az-a # asked by A: test\n"
            "zone a region=n # asked by A: test\n"});
        CPPUNIT_ASSERT(fixture.place(fixture.submit(amount(1000, 100)), 2000));
        fixture.set_zone("a", core::zone_state::out_of_service);
        CPPUNIT_ASSERT(!fixture.place(fixture.submit(amount(1000, 100))));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             fixture.state.counters().dropped_placements);
    }

    // Guards against a task that stays in a zone out of service because the
    // batch with its eviction was rejected.
    void rejected_eviction_is_planned_again()
    {
        planner_sync_fixture fixture;
        fixture.add_worker("w", "a");
        fixture.add_worker("v", "b");
        auto const job = fixture.submit(amount(1000, 100));
        CPPUNIT_ASSERT(fixture.place(job));
        fixture.report(job, task_event::started);
        auto const zone =
            fixture.job(job).hold->worker == core::worker_id("w") ? "a" : "b";
        fixture.set_zone(zone, core::zone_state::out_of_service);
        bool is_lost = false;
        for (int i = 0; i < 300 && !is_lost; ++i)
        {
            is_lost =
                !fixture.tick(std::chrono::seconds(1)).batch.evictions.empty();
            is_lost ? fixture.reject_batch() : fixture.apply_batch();
        }
        CPPUNIT_ASSERT(is_lost);
        for (int i = 0; i < 300 && fixture.job(job).state == job_state::running;
             ++i)
        {
            fixture.tick(std::chrono::seconds(1));
            fixture.apply_batch();
        }
        CPPUNIT_ASSERT(fixture.job(job).state == job_state::evicting);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planner_sync_test);

} // namespace turmericswitch::control::testing
