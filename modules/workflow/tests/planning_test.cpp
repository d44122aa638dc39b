#include "planning_builder.hpp"
#include "workflow/dispatch/worker_health.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::workflow
{

using namespace testing;

namespace
{

std::int64_t total(cpu_by_image const& cpu)
{
    std::int64_t sum = 0;
    for (auto const& [image, amount] : cpu)
    {
        sum += amount.value();
    }
    return sum;
}

} // namespace

class planning_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planning_test);
    CPPUNIT_TEST(stage_with_many_tasks_stays_within_capacity);
    CPPUNIT_TEST(higher_priority_is_placed_before_older_batch);
    CPPUNIT_TEST(job_that_is_too_late_is_placed_last);
    CPPUNIT_TEST(gang_is_placed_completely_or_not_at_all);
    CPPUNIT_TEST(limit_per_worker_is_respected);
    CPPUNIT_TEST(other_service_or_missing_label_excludes_a_worker);
    CPPUNIT_TEST(best_effort_task_avoids_worker_whose_tail_it_raises);
    CPPUNIT_TEST(serving_tasks_of_one_image_share_workers);
    CPPUNIT_TEST(serving_task_is_placed_beside_another_image_if_necessary);
    CPPUNIT_TEST(slowed_task_leaves_cpu_to_others);
    CPPUNIT_TEST(worker_with_a_service_over_target_gets_no_best_effort_task);
    CPPUNIT_TEST(tasks_placed_since_the_report_count_for_the_predicted_tail);
    CPPUNIT_TEST(
        high_tail_that_a_task_does_not_raise_does_not_exclude_a_worker);
    CPPUNIT_TEST(one_task_of_an_image_without_samples_starts);
    CPPUNIT_TEST(image_with_samples_does_not_start_where_it_raises_the_tail);
    CPPUNIT_TEST(no_task_starts_beside_one_over_its_target);
    CPPUNIT_TEST(task_is_placed_in_the_rack_of_its_data);
    CPPUNIT_TEST(failing_worker_is_quarantined_but_not_for_one_failing_job);
    CPPUNIT_TEST(worker_that_refuses_starts_is_quarantined);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against overcommitting workers for a stage with many tasks.
    void stage_with_many_tasks_stays_within_capacity()
    {
        auto const many = stage(100, 1500);
        std::vector workers{candidate("w1", 8000), candidate("w2", 4000)};
        auto const placements =
            plan_stages({pending("a", many, 100)}, workers, 200, no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, count_on(placements, "w1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placements, "w2"));
    }

    // Guards against an order by age alone.
    void higher_priority_is_placed_before_older_batch()
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

    // Under overload, jobs that are already too late must not delay others
    // beyond their objectives.
    void job_that_is_too_late_is_placed_last()
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

    // An incomplete gang would reserve capacity and end as `alone`.
    void gang_is_placed_completely_or_not_at_all()
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

    void limit_per_worker_is_respected()
    {
        auto apart = stage(5, 100);
        apart.constraints.max_per_worker = 2;
        std::vector workers{candidate("w1", 8000), candidate("w2", 8000)};
        auto const placements =
            plan_stages({pending("a", apart, 5)}, workers, 200, no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placements, "w1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placements, "w2"));
    }

    void other_service_or_missing_label_excludes_a_worker()
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

    // Guards against best-effort tasks on a worker where they are predicted to
    // raise a serving task's tail to its target.
    void best_effort_task_avoids_worker_whose_tail_it_raises()
    {
        auto best_effort = stage(2, 2000);
        best_effort.behaviour.uses_spare_cpu = true;
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
            plan_stages({pending("a", best_effort, 2)}, workers, 200, tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placements, "w2"));
    }

    // Guards against serving images that are spread over all workers: hardly
    // any best-effort image could then run beside them.
    void serving_tasks_of_one_image_share_workers()
    {
        std::vector<core::stage_description> stages;
        std::vector<pending_stage> jobs;
        for (auto const* const image : {"red", "green", "blue"})
        {
            auto description = stage(6, 4000);
            description.behaviour.long_running = true;
            description.behaviour.target_latency =
                std::chrono::milliseconds(100);
            description.behaviour.image = image;
            stages.push_back(description);
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

    // Guards against a serving task that waits for a worker without other
    // images.
    void serving_task_is_placed_beside_another_image_if_necessary()
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

    // Guards against a sequence of short best-effort tasks that keeps a service
    // over its target, although each of them is stopped after its first report.
    void worker_with_a_service_over_target_gets_no_best_effort_task()
    {
        auto best_effort = stage(1, 1000);
        best_effort.behaviour.uses_spare_cpu = true;
        auto const plain = stage(1, 1000);
        std::vector workers{candidate("w1", 8000)};
        workers.front().closed_to_best_effort = true;
        auto const placements =
            plan_stages({pending("a", best_effort, 3), pending("b", plain, 2)},
                        workers,
                        200,
                        no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placements.size());
        CPPUNIT_ASSERT(placements.front().run.task.workflow.value() == "b");
    }

    // The CPU that a slowed task does not use must be available to images that
    // do not interfere there.
    void slowed_task_leaves_cpu_to_others()
    {
        auto best_effort = stage(1, 4000);
        best_effort.behaviour.uses_spare_cpu = true;
        std::vector workers{candidate("w1", 8000)};
        for (std::uint32_t i = 0; i < 2; ++i)
        {
            workers.front().add(
                {core::workflow_id("slowed"), 0, i}, best_effort, 25);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6000}, workers.front().spare.value());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2},
            plan_stages({pending("a", best_effort, 9)}, workers, 200, no_tail)
                .size());
    }

    // A burst of placements between two reports of a worker: tasks of any image
    // that were placed since the last report must count as running.
    void tasks_placed_since_the_report_count_for_the_predicted_tail()
    {
        auto best_effort = stage(1, 1000);
        best_effort.behaviour.uses_spare_cpu = true;
        best_effort.behaviour.image = "red";
        std::vector workers{candidate("w1", 8000)};
        workers.front().serving = 1;
        auto const tail = [](core::worker_id const&, cpu_by_image const& added)
        { return static_cast<double>(total(added)) / 4000; };
        workers.front().planned = {{"blue", core::millicores(3000)}};
        CPPUNIT_ASSERT(
            plan_stages({pending("a", best_effort, 1)}, workers, 200, tail)
                .empty());
        workers.front().planned.clear();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{3},
            plan_stages({pending("a", best_effort, 8)}, workers, 200, tail)
                .size());
    }

    // Guards against batch that never starts because a prediction keeps it from
    // all workers, and so gets no sample that would correct the prediction.
    void one_task_of_an_image_without_samples_starts()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             plan_beside_serving(0.8, false).size());
        // Another job with tasks of the image, after the first task is placed.
        CPPUNIT_ASSERT(plan_beside_serving(0.8, false).empty());
    }

    void image_with_samples_does_not_start_where_it_raises_the_tail()
    {
        CPPUNIT_ASSERT(plan_beside_serving(0.8, true).empty());
    }

    void no_task_starts_beside_one_over_its_target()
    {
        CPPUNIT_ASSERT(plan_beside_serving(1.2, false).empty());
    }

    void high_tail_that_a_task_does_not_raise_does_not_exclude_a_worker()
    {
        auto best_effort = stage(1, 2000);
        best_effort.behaviour.uses_spare_cpu = true;
        std::vector workers{candidate("w1", 8000)};
        workers.front().serving = 1;
        auto const tail = [](core::worker_id const&, cpu_by_image const&)
        { return 1.5; };
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            plan_stages({pending("a", best_effort, 1)}, workers, 200, tail)
                .size());
    }

    void task_is_placed_in_the_rack_of_its_data()
    {
        auto near = stage(1, 1000);
        near.constraints.data_rack = core::rack_id("rack-w1");
        std::vector workers{candidate("w1", 8000), candidate("w2", 9000)};
        workers.front().free.cpu = core::millicores(6000);
        auto const placements =
            plan_stages({pending("a", near, 1)}, workers, 200, no_tail);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_on(placements, "w1"));
    }

    // Guards against blaming a worker for a job that fails on any worker.
    void failing_worker_is_quarantined_but_not_for_one_failing_job()
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

    // A worker that refuses every start. Without a quarantine the same tasks
    // were placed on it sixteen times a second.
    void worker_that_refuses_starts_is_quarantined()
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

private:
    /// Plans four best-effort tasks of an image that is predicted to raise the
    /// tails of the serving tasks on both workers.
    std::vector<core::run_placement> plan_beside_serving(double now,
                                                         bool is_effect_known)
    {
        auto best_effort = stage(4);
        best_effort.behaviour.uses_spare_cpu = true;
        best_effort.behaviour.image = "blue";
        // Each core of them raises the tail by half of it.
        auto const tail =
            [now](core::worker_id const&, cpu_by_image const& added)
        {
            double rise = 1;
            for (auto const& [image, cpu] : added)
            {
                rise += static_cast<double>(cpu.value()) / 2000.0;
            }
            return now * rise;
        };
        placement_policy policy;
        policy.is_effect_known =
            [is_effect_known](core::worker_id const&, std::string const&)
        { return is_effect_known; };
        return plan_stages(
            {pending("a", best_effort, 4)}, m_serving, 200, tail, policy);
    }

    static std::vector<candidate_worker> serving_workers()
    {
        std::vector<candidate_worker> result{candidate("w1", 8000),
                                             candidate("w2", 8000)};
        for (auto& each : result)
        {
            each.serving = 1;
        }
        return result;
    }

    std::vector<candidate_worker> m_serving = serving_workers();
};

CPPUNIT_TEST_SUITE_REGISTRATION(planning_test);

} // namespace turmericswitch::workflow
