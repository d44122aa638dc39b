#include "workflow/dispatch/dispatcher.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::workflow
{

using namespace testing;

namespace
{

candidate_worker candidate(std::string const& name, std::int64_t millicores)
{
    candidate_worker made;
    made.worker = core::worker_id(name);
    made.life = core::incarnation(1);
    made.service = core::service_id("labels");
    made.rack = core::rack_id("rack-" + name);
    made.capacity.cpu = core::millicores(millicores);
    made.capacity.memory = core::byte_count(std::int64_t{1} << 40);
    made.free = made.capacity;
    made.spare = made.capacity.cpu;
    return made;
}

pending_stage pending(std::string const& id,
                      core::stage_description const& description,
                      std::uint32_t tasks)
{
    pending_stage made;
    made.stage = {core::workflow_id(id), 0, 0};
    made.description = &description;
    made.service = core::service_id("labels");
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        made.runs.push_back(run_of(id, 0, i));
    }
    return made;
}

std::size_t count_on(std::vector<core::run_placement> const& placements,
                     std::string const& worker)
{
    return static_cast<std::size_t>(
        std::count_if(placements.begin(),
                      placements.end(),
                      [&worker](core::run_placement const& each)
                      { return each.worker.value() == worker; }));
}

std::int64_t total(cpu_by_image const& cpu)
{
    std::int64_t sum = 0;
    for (auto const& [image, amount] : cpu)
    {
        sum += amount.value();
    }
    return sum;
}

double no_tail(core::worker_id const&, cpu_by_image const&)
{
    return 0;
}

} // namespace

class planning_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planning_test);
    CPPUNIT_TEST(wide_stage_fills_no_worker_beyond_its_room);
    CPPUNIT_TEST(urgent_queue_comes_before_an_older_batch);
    CPPUNIT_TEST(hopeless_job_waits_for_those_in_time);
    CPPUNIT_TEST(gang_waits_as_a_whole_behind_a_full_fleet);
    CPPUNIT_TEST(limit_per_worker_holds);
    CPPUNIT_TEST(other_service_and_missing_label_get_nothing);
    CPPUNIT_TEST(spare_task_stays_away_from_a_tail_that_it_raises);
    CPPUNIT_TEST(serving_tasks_of_one_image_share_workers);
    CPPUNIT_TEST(serving_task_is_placed_beside_another_image_if_need_be);
    CPPUNIT_TEST(slowed_task_leaves_the_rest_of_its_processors);
    CPPUNIT_TEST(worker_with_a_harmed_service_gets_no_spare_task);
    CPPUNIT_TEST(tasks_placed_since_the_report_count_against_the_tail);
    CPPUNIT_TEST(high_tail_that_a_spare_task_does_not_raise_is_no_reason);
    CPPUNIT_TEST(work_goes_to_the_rack_of_its_data);
    CPPUNIT_TEST(failing_worker_is_set_aside_and_failing_job_is_not);
    CPPUNIT_TEST(refusing_worker_is_set_aside);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: a recataloguing job with one stage of many tasks.
    void wide_stage_fills_no_worker_beyond_its_room()
    {
        auto const wide = stage(100, 1500);
        std::vector workers{candidate("w1", 8000), candidate("w2", 4000)};
        auto const placements =
            plan_stages({pending("a", wide, 100)}, workers, 200, no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, count_on(placements, "w1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placements, "w2"));
    }

    // Load: a burst of one class while another waits.
    void urgent_queue_comes_before_an_older_batch()
    {
        auto const one = stage(1, 1000);
        auto batch = pending("a", one, 1);
        batch.priority = 2;
        batch.submitted = at_ms(1);
        auto urgent = pending("b", one, 1);
        urgent.submitted = at_ms(2);
        std::vector workers{candidate("w1", 1000)};
        auto const placements =
            plan_stages({batch, urgent}, workers, 200, no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placements.size());
        CPPUNIT_ASSERT(placements.front().run.task.workflow.value() == "b");
    }

    // Load: more work than there is room for; what is late already must not
    // make the rest late too.
    void hopeless_job_waits_for_those_in_time()
    {
        auto const one = stage(1, 1000);
        auto late = pending("a", one, 1);
        late.urgency = job_urgency::too_late;
        auto on_time = pending("b", one, 1);
        on_time.priority = 2;
        on_time.submitted = at_ms(9);
        std::vector workers{candidate("w1", 1000)};
        auto const placements =
            plan_stages({late, on_time}, workers, 200, no_tail);
        CPPUNIT_ASSERT(placements.front().run.task.workflow.value() == "b");
    }

    // A part of a gang would hold room and end as `alone`.
    void gang_waits_as_a_whole_behind_a_full_fleet()
    {
        auto gang = stage(3, 1000);
        gang.behaviour.gang = true;
        std::vector workers{candidate("w1", 2000)};
        CPPUNIT_ASSERT(
            plan_stages({pending("a", gang, 3)}, workers, 200, no_tail)
                .empty());
        CPPUNIT_ASSERT(workers.front().free.cpu == core::millicores(2000));
        workers.push_back(candidate("w2", 1000));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{3},
            plan_stages({pending("a", gang, 3)}, workers, 200, no_tail).size());
    }

    void limit_per_worker_holds()
    {
        auto apart = stage(5, 100);
        apart.constraints.max_per_worker = 2;
        std::vector workers{candidate("w1", 8000), candidate("w2", 8000)};
        auto const placements =
            plan_stages({pending("a", apart, 5)}, workers, 200, no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placements, "w1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placements, "w2"));
    }

    void other_service_and_missing_label_get_nothing()
    {
        auto labelled = stage(1);
        labelled.constraints.required_label = "fast";
        std::vector workers{candidate("w1", 8000)};
        CPPUNIT_ASSERT(
            plan_stages({pending("a", labelled, 1)}, workers, 200, no_tail)
                .empty());
        auto const plain = stage(1);
        auto other = pending("a", plain, 1);
        other.service = core::service_id("other");
        CPPUNIT_ASSERT(plan_stages({other}, workers, 200, no_tail).empty());
    }

    // Load: batch that fills beside services with a latency target.
    void spare_task_stays_away_from_a_tail_that_it_raises()
    {
        auto spare = stage(2, 2000);
        spare.behaviour.uses_spare_cpu = true;
        std::vector workers{candidate("w1", 8000), candidate("w2", 6000)};
        workers.front().serving = 1;
        auto const tail =
            [](core::worker_id const& worker, cpu_by_image const& added)
        {
            return worker.value() == "w1"
                       ? 0.5 + static_cast<double>(total(added)) / 4000
                       : 0.0;
        };
        auto const placements =
            plan_stages({pending("a", spare, 2)}, workers, 200, tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placements, "w2"));
    }

    // Load: lasting tasks of several images come at the start of a day, and
    // batch on spare time follows. A worker with all images bears hardly any
    // batch image.
    void serving_tasks_of_one_image_share_workers()
    {
        std::vector<core::stage_description> stages;
        std::vector<pending_stage> jobs;
        for (auto const* const image : {"red", "green", "blue"})
        {
            auto made = stage(6, 4000);
            made.behaviour.long_running = true;
            made.behaviour.target_latency = std::chrono::milliseconds(100);
            made.behaviour.image = image;
            stages.push_back(made);
        }
        for (std::size_t i = 0; i < stages.size(); ++i)
        {
            jobs.push_back(pending(std::to_string(i), stages[i], 6));
        }
        std::vector workers{candidate("w1", 32000),
                            candidate("w2", 32000),
                            candidate("w3", 32000),
                            candidate("w4", 32000)};
        auto const placements = plan_stages(jobs, workers, 200, no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{18}, placements.size());
        for (auto const& worker : workers)
        {
            CPPUNIT_ASSERT(worker.serving_images.size() <= 1);
        }
    }

    // Guards a busy fleet: without a worker for its image alone a serving task
    // goes beside others rather than wait.
    void serving_task_is_placed_beside_another_image_if_need_be()
    {
        auto one = stage(1, 4000);
        one.behaviour.target_latency = std::chrono::milliseconds(100);
        one.behaviour.image = "red";
        std::vector workers{candidate("w1", 32000)};
        workers.front().serving_images = {{"green", 2}, {"blue", 1}};
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            plan_stages({pending("a", one, 1)}, workers, 200, no_tail).size());
    }

    // Load: batch waits while a service on every worker is over its target. A
    // flow of short tasks, each stopped after its first report, would keep the
    // service disturbed.
    void worker_with_a_harmed_service_gets_no_spare_task()
    {
        auto spare = stage(1, 1000);
        spare.behaviour.uses_spare_cpu = true;
        auto const plain = stage(1, 1000);
        std::vector workers{candidate("w1", 8000)};
        workers.front().closed_to_best_effort = true;
        auto const placements =
            plan_stages({pending("a", spare, 3), pending("b", plain, 2)},
                        workers,
                        200,
                        no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placements.size());
        CPPUNIT_ASSERT(placements.front().run.task.workflow.value() == "b");
    }

    // Load: batch that was slowed beside services. Its processors are free for
    // an image that disturbs nobody there.
    void slowed_task_leaves_the_rest_of_its_processors()
    {
        auto spare = stage(1, 4000);
        spare.behaviour.uses_spare_cpu = true;
        std::vector workers{candidate("w1", 8000)};
        for (std::uint32_t i = 0; i < 2; ++i)
        {
            workers.front().add({core::workflow_id("slowed"), 0, i}, spare, 25);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6000}, workers.front().spare.value());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2},
            plan_stages({pending("a", spare, 9)}, workers, 200, no_tail)
                .size());
    }

    // Load: a burst of batch between two reports of a worker. What was placed
    // since the last report, of any image, counts as if it ran.
    void tasks_placed_since_the_report_count_against_the_tail()
    {
        auto spare = stage(1, 1000);
        spare.behaviour.uses_spare_cpu = true;
        spare.behaviour.image = "red";
        std::vector workers{candidate("w1", 8000)};
        workers.front().serving = 1;
        auto const tail = [](core::worker_id const&, cpu_by_image const& added)
        { return static_cast<double>(total(added)) / 4000; };
        workers.front().planned = {{"blue", core::millicores(3000)}};
        CPPUNIT_ASSERT(
            plan_stages({pending("a", spare, 1)}, workers, 200, tail).empty());
        workers.front().planned.clear();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{3},
            plan_stages({pending("a", spare, 8)}, workers, 200, tail).size());
    }

    void high_tail_that_a_spare_task_does_not_raise_is_no_reason()
    {
        auto spare = stage(1, 2000);
        spare.behaviour.uses_spare_cpu = true;
        std::vector workers{candidate("w1", 8000)};
        workers.front().serving = 1;
        auto const tail = [](core::worker_id const&, cpu_by_image const&)
        { return 1.5; };
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            plan_stages({pending("a", spare, 1)}, workers, 200, tail).size());
    }

    void work_goes_to_the_rack_of_its_data()
    {
        auto near = stage(1, 1000);
        near.constraints.data_rack = core::rack_id("rack-w1");
        std::vector workers{candidate("w1", 8000), candidate("w2", 9000)};
        workers.front().free.cpu = core::millicores(6000);
        auto const placements =
            plan_stages({pending("a", near, 1)}, workers, 200, no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_on(placements, "w1"));
    }

    // Load: a job that fails everywhere beside a worker that fails everything.
    void failing_worker_is_set_aside_and_failing_job_is_not()
    {
        worker_health health;
        core::worker_id const good("w1");
        core::worker_id const bad("w2");
        for (std::uint32_t i = 1; i <= 10; ++i)
        {
            health.record_end(
                at_ms(i), good, run_of("a", 0, 0, i), core::run_end::failed);
        }
        CPPUNIT_ASSERT(!health.is_quarantined(at_ms(20), good));
        for (auto const* const id : {"a", "b", "c"})
        {
            health.record_end(
                at_ms(30), bad, run_of(id, 0, 0), core::run_end::failed);
        }
        CPPUNIT_ASSERT(health.is_quarantined(at_ms(31), bad));
        CPPUNIT_ASSERT(!health.is_quarantined(at_ms(2100), bad));
        health.record_end(
            at_ms(2200), bad, run_of("d", 0, 0), core::run_end::failed);
        CPPUNIT_ASSERT(health.is_quarantined(at_ms(6000), bad));
        health.record_end(
            at_ms(7000), bad, run_of("e", 0, 0), core::run_end::done);
        CPPUNIT_ASSERT(!health.is_quarantined(at_ms(7001), bad));
    }

    // Load: a worker that refuses every start. Without a pause it was given
    // the same tasks sixteen times a second.
    void refusing_worker_is_set_aside()
    {
        worker_health health;
        core::worker_id const worker("w1");
        for (std::uint32_t i = 1; i <= 2; ++i)
        {
            health.record_end(
                at_ms(i), worker, run_of("a", 0, 0, i), core::run_end::refused);
        }
        CPPUNIT_ASSERT(!health.is_quarantined(at_ms(3), worker));
        health.record_end(
            at_ms(3), worker, run_of("a", 0, 0, 3), core::run_end::refused);
        CPPUNIT_ASSERT(health.is_quarantined(at_ms(4), worker));
        CPPUNIT_ASSERT(!health.is_quarantined(at_ms(2100), worker));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planning_test);

} // namespace turmericswitch::workflow
