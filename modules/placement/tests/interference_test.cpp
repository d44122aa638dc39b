#include "placement/tests/fake_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace turmericswitch::placement
{

using testing::amount;
using testing::fake_cluster;

class interference_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(interference_test);
    CPPUNIT_TEST(model_distinguishes_noisy_and_quiet_kinds);
    CPPUNIT_TEST(model_adapts_when_interference_changes);
    CPPUNIT_TEST(late_measurement_is_attributed_to_tasks_running_then);
    CPPUNIT_TEST(history_returns_nothing_for_evicted_times);
    CPPUNIT_TEST(batch_is_throttled_before_the_cheapest_is_evicted);
    CPPUNIT_TEST(measurement_from_before_an_action_triggers_no_other);
    CPPUNIT_TEST(throttle_is_lifted_only_after_a_calm_period);
    CPPUNIT_TEST(batch_goes_to_the_worker_without_services);
    CPPUNIT_TEST(observed_growth_evicts_batch_before_the_worker_is_full);
    CPPUNIT_TEST(under_declared_kind_reserves_what_it_used);
    CPPUNIT_TEST(elastic_kind_keeps_its_size_over_generations);
    CPPUNIT_TEST(elastic_tasks_at_their_limit_lead_to_no_eviction);
    CPPUNIT_TEST_SUITE_END();

    static core::time_point at(int seconds)
    {
        return core::time_point(std::chrono::seconds(1000 + seconds));
    }

    static occupant task(std::uint64_t job, kind_index kind, double share)
    {
        return {core::job_id(job), kind, share};
    }

    // Guards against attributing a slowdown equally to all tasks on the worker.
    void model_distinguishes_noisy_and_quiet_kinds()
    {
        interference_model model;
        for (int i = 0; i < 60; ++i)
        {
            double const noisy = i % 3 == 0 ? 0.5 : 0.1;
            double const quiet = i % 2 == 0 ? 0.4 : 0.1;
            model.learn(at(i * 10),
                        0,
                        {task(1, 1, noisy), task(2, 2, quiet)},
                        0.5,
                        1 + 2 * noisy);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            2.0, model.contribution(0, 1, 1.0, 0.5), 0.3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.0, model.contribution(0, 2, 1.0, 0.5), 0.15);
        CPPUNIT_ASSERT(model.confidence(at(600), 0, 1, 0.5) > 0.8);
        CPPUNIT_ASSERT_EQUAL(0.0, model.confidence(at(600), 1, 0, 0.5));
        // An unknown pair is assumed to cause some slowdown.
        CPPUNIT_ASSERT(model.contribution(1, 0, 1.0, 0.5) > 0.3);
    }

    // Guards against a model that becomes too certain to learn.
    void model_adapts_when_interference_changes()
    {
        interference_model model;
        auto const learn = [&](int from, double slowdown)
        {
            for (int i = 0; i < 360; ++i)
            {
                model.learn(
                    at(from + i * 10), 0, {task(1, 1, 0.5)}, 0.5, slowdown);
            }
        };
        learn(0, 2.0);
        double const sure = model.confidence(at(3600), 0, 1, 0.5);
        CPPUNIT_ASSERT(model.confidence(at(7200), 0, 1, 0.5) < sure - 0.3);
        learn(3600, 1.0);
        CPPUNIT_ASSERT(model.contribution(0, 1, 0.5, 0.5) < 0.1);
    }

    // Guards against attributing a slowdown to a task that started after the
    // measurement.
    void late_measurement_is_attributed_to_tasks_running_then()
    {
        fake_cluster cluster;
        cluster.add_worker("w", "a", amount(10000, 8000));
        auto& policy = cluster.policy();
        auto const web = policy.kind_of(core::task_kind("web"));
        auto const early = policy.kind_of(core::task_kind("early"));
        auto const later = policy.kind_of(core::task_kind("later"));
        cluster.add_job(
            1, amount(1000, 100), core::priority_class::service, "web");
        cluster.add_job(
            2, amount(4000, 100), core::priority_class::urgent, "early");
        cluster.tick();
        cluster.tick(std::chrono::seconds(40));
        cluster.finish(2);
        cluster.add_job(
            3, amount(4000, 100), core::priority_class::urgent, "later");
        cluster.tick(std::chrono::seconds(1));
        cluster.tick(std::chrono::seconds(5));
        cluster.report(1, amount(1000, 100), 2000);
        auto const& model = policy.interference();
        CPPUNIT_ASSERT(model.confidence(cluster.now(), web, early, 0.5) > 0);
        CPPUNIT_ASSERT_EQUAL(0.0,
                             model.confidence(cluster.now(), web, later, 0.5));
    }

    // Guards against attributing a slowdown to an incomplete list of tasks, and
    // against unbounded growth of the history.
    void history_returns_nothing_for_evicted_times()
    {
        occupancy_history history;
        history.started(at(0), task(1, 0, 0.1));
        history.started(at(0), task(2, 0, 0.1));
        history.ended(at(10), core::job_id(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, history.at(at(5))->size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.at(at(10))->size());
        history.started(at(500), task(3, 0, 0.1));
        CPPUNIT_ASSERT(!history.at(at(5)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, history.size());
        for (std::uint64_t job = 10; job < 5010; ++job)
        {
            history.started(at(501), task(job, 0, 0.1));
            history.ended(at(501), core::job_id(job));
        }
        CPPUNIT_ASSERT(history.size() < 1000);
    }

    /// Starts a service (1) and two batch tasks (2, 3) on one worker; task 3
    /// has just written a checkpoint.
    static void fill(fake_cluster& cluster)
    {
        cluster.add_worker("w", "a", amount(10000, 8000));
        cluster.add_job(
            1, amount(1000, 100), core::priority_class::service, "web");
        cluster.add_job(
            2, amount(4000, 100), core::priority_class::batch, "noise");
        cluster.add_job(
            3, amount(4000, 100), core::priority_class::batch, "noise");
        // After 20 minutes batch is placed despite predicted interference.
        cluster.tick();
        cluster.tick(std::chrono::minutes(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.running.size());
        cluster.tick(std::chrono::minutes(2));
        cluster.policy().job_checkpointed(
            cluster.now(), core::job_id(3), core::attempt_number(1));
    }

    static tick_decisions slow_report(fake_cluster& cluster,
                                      std::uint32_t permille)
    {
        cluster.report(1, amount(1000, 100), permille);
        return cluster.tick(std::chrono::seconds(10));
    }

    // Guards against evicting before throttling, against acting on a single
    // measurement, and against evicting the task that loses most work.
    void batch_is_throttled_before_the_cheapest_is_evicted()
    {
        fake_cluster cluster;
        fill(cluster);
        CPPUNIT_ASSERT(slow_report(cluster, 3000).throttles.empty());
        std::size_t throttles = 0;
        std::vector<core::evict_task> evictions;
        for (int i = 0; i < 60 && evictions.empty(); ++i)
        {
            auto const decisions = slow_report(cluster, 3000);
            throttles += decisions.throttles.size();
            evictions = decisions.batch.evictions;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, throttles);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evictions.size());
        CPPUNIT_ASSERT(evictions[0].job == core::job_id(3));
    }

    // Guards against acting again on measurements from before the action.
    void measurement_from_before_an_action_triggers_no_other()
    {
        fake_cluster cluster;
        fill(cluster);
        slow_report(cluster, 3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             slow_report(cluster, 3000).throttles.size());
        // These reports arrive 30 s after their measurement, so they are from
        // before the throttle.
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT(slow_report(cluster, 3000).throttles.empty());
        }
    }

    // Guards against throttles that oscillate with every measurement.
    void throttle_is_lifted_only_after_a_calm_period()
    {
        fake_cluster cluster;
        fill(cluster);
        slow_report(cluster, 3000);
        slow_report(cluster, 3000);
        // Between the low and the high threshold nothing changes.
        for (int i = 0; i < 40; ++i)
        {
            CPPUNIT_ASSERT(slow_report(cluster, 1400).throttles.empty());
        }
        int calm_s = 0;
        tick_decisions decisions;
        for (; calm_s < 2000 && decisions.throttles.empty(); calm_s += 10)
        {
            decisions = slow_report(cluster, 1000);
        }
        CPPUNIT_ASSERT(calm_s >= 90 && calm_s < 600);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1000},
                             decisions.throttles.at(0).order.cpu_permille);
    }

    // Guards against ignoring the predicted slowdown of services.
    void batch_goes_to_the_worker_without_services()
    {
        for (std::uint64_t id = 10; id < 30; ++id)
        {
            fake_cluster cluster;
            cluster.add_worker("w1");
            cluster.add_job(
                1, amount(1000, 100), core::priority_class::service, "web");
            cluster.tick();
            cluster.add_worker("w2");
            cluster.add_job(id, amount(3000, 100));
            cluster.tick();
            CPPUNIT_ASSERT_EQUAL(std::string("w2"), cluster.worker_of(id));
        }
    }

    // Guards against acting only once memory has run out. One case grows
    // towards its reservation, the other uses more than it reserved.
    void observed_growth_evicts_batch_before_the_worker_is_full()
    {
        for (auto const& [earlier, later] :
             {std::pair(3500, 3900), std::pair(4100, 4100)})
        {
            fake_cluster cluster;
            cluster.add_worker("w");
            cluster.add_job(1, amount(100, 4000));
            cluster.add_job(2, amount(100, 4000));
            cluster.tick();
            cluster.tick(std::chrono::seconds(60));
            cluster.policy().job_checkpointed(
                cluster.now(), core::job_id(2), core::attempt_number(1));
            cluster.report(1, amount(100, earlier));
            cluster.report(2, amount(100, 2000));
            auto evictions = cluster.tick().batch.evictions.size();
            CPPUNIT_ASSERT_EQUAL(std::size_t{earlier > 4000}, evictions);
            cluster.tick(std::chrono::seconds(10));
            cluster.report(1, amount(100, later));
            evictions += cluster.tick().batch.evictions.size();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evictions);
            // The running eviction frees enough; no other one follows.
            CPPUNIT_ASSERT(cluster.tick().batch.evictions.empty());
            auto const reserved =
                cluster.policy().reserved_on(core::worker_id("w"));
            CPPUNIT_ASSERT(core::fits_in(reserved, amount(8000, 8000, 1)));
        }
    }

    // Guards against overcommitting a worker again with a kind that is known to
    // declare less than it uses.
    void under_declared_kind_reserves_what_it_used()
    {
        fake_cluster cluster;
        cluster.add_worker("w");
        for (std::uint64_t id = 1; id <= 6; ++id)
        {
            cluster.add_job(id, amount(100, 100));
            cluster.tick(std::chrono::seconds(60));
            cluster.tick(std::chrono::seconds(60));
            cluster.report(id, amount(100, 3000));
            cluster.finish(id);
        }
        cluster.add_job(7, amount(100, 100));
        cluster.tick();
        auto const& reserved = cluster.running.at(core::job_id(7)).reserved;
        CPPUNIT_ASSERT(reserved.memory >= core::byte_count(3000));
    }

    // Guards against adding the margin to each generation's reservation in
    // turn, and against shrinking batch that was limited by its reservation.
    void elastic_kind_keeps_its_size_over_generations()
    {
        for (auto const priority :
             {core::priority_class::urgent, core::priority_class::batch})
        {
            fake_cluster cluster;
            cluster.add_worker("w", "a", amount(32000, 32000));
            for (std::uint64_t id = 1; id <= 50; ++id)
            {
                cluster.add_job(id, amount(500, 600), priority);
                cluster.tick(std::chrono::minutes(1));
                auto const reserved =
                    cluster.running.at(core::job_id(id)).reserved;
                CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, reserved.cpu.value());
                CPPUNIT_ASSERT_EQUAL(std::int64_t{600},
                                     reserved.memory.value());
                cluster.tick(std::chrono::minutes(1));
                // Inexact samples: a little above, or a little below.
                bool const above = priority == core::priority_class::urgent;
                cluster.report(id, above ? amount(505, 606) : amount(495, 594));
                cluster.finish(id);
            }
        }
    }

    // Guards against evictions when only the safety margin is lacking.
    void elastic_tasks_at_their_limit_lead_to_no_eviction()
    {
        fake_cluster cluster;
        cluster.add_worker("w");
        cluster.add_job(
            1, amount(4000, 4000), core::priority_class::urgent, "proof");
        cluster.add_job(2, amount(4000, 4000));
        cluster.tick();
        for (int i = 0; i < 30; ++i)
        {
            cluster.tick(std::chrono::seconds(60));
            // Inexact samples look like a small growth.
            cluster.report(1, amount(4000, 3990 + i % 2 * 20));
            cluster.report(2, amount(4000, 3990 + i % 3 * 10));
            CPPUNIT_ASSERT(cluster.tick().batch.evictions.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(interference_test);

} // namespace turmericswitch::placement
