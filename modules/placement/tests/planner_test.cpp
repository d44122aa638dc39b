#include "placement/tests/fake_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace turmericswitch::placement
{

using testing::amount;
using testing::fake_cluster;

class planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planner_test);
    CPPUNIT_TEST(urgent_goes_before_older_batch);
    CPPUNIT_TEST(tight_deadline_goes_before_fair_share);
    CPPUNIT_TEST(team_with_the_lower_share_goes_first);
    CPPUNIT_TEST(large_job_is_not_starved_by_small_ones);
    CPPUNIT_TEST(urgent_job_preempts_batch_that_loses_least_work);
    CPPUNIT_TEST(job_that_never_fits_is_refused_at_once);
    CPPUNIT_TEST(services_spread_over_zones_and_racks);
    CPPUNIT_TEST(zones_count_more_than_racks);
    CPPUNIT_TEST(no_start_in_a_zone_that_is_out);
    CPPUNIT_TEST(zone_out_of_service_lets_short_tasks_finish);
    CPPUNIT_TEST(returning_zone_opens_in_steps);
    CPPUNIT_TEST(faulty_worker_is_quarantined_probed_and_restored);
    CPPUNIT_TEST(job_that_fails_everywhere_is_stopped);
    CPPUNIT_TEST(dropped_placement_frees_its_worker);
    CPPUNIT_TEST(evicted_task_holds_capacity_until_requeued);
    CPPUNIT_TEST(urgent_headroom_leaves_most_workers_to_batch);
    CPPUNIT_TEST(preempted_capacity_is_kept_for_the_next_urgent_job);
    CPPUNIT_TEST(restored_deadline_is_calendar_time);
    CPPUNIT_TEST_SUITE_END();

    static std::size_t placed(tick_decisions const& decisions)
    {
        return decisions.batch.placements.size();
    }

    // Guards against an urgent job waiting behind older batch jobs.
    void urgent_goes_before_older_batch()
    {
        fake_cluster cluster;
        cluster.add_worker("w");
        cluster.add_job(1, amount(8000, 100));
        cluster.add_job(
            2, amount(8000, 100), core::priority_class::urgent, "proof");
        cluster.tick();
        CPPUNIT_ASSERT_EQUAL(std::string("w"), cluster.worker_of(2));
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.worker_of(1));
    }

    // Guards against a missed deadline because another team has a lower share.
    void tight_deadline_goes_before_fair_share()
    {
        fake_cluster cluster;
        cluster.add_worker("w");
        cluster.add_job(1, amount(4000, 100));
        cluster.tick();
        core::wall_time const soon(cluster.now().time_since_epoch() +
                                   std::chrono::minutes(12));
        cluster.add_job(
            2, amount(4000, 100), core::priority_class::batch, "k", "other");
        cluster.add_job(
            3, amount(4000, 100), core::priority_class::batch, "k", "t", soon);
        cluster.tick();
        CPPUNIT_ASSERT_EQUAL(std::string("w"), cluster.worker_of(3));
    }

    // Guards against one team getting all capacity.
    void team_with_the_lower_share_goes_first()
    {
        fake_cluster cluster;
        cluster.add_worker("w");
        cluster.add_job(1, amount(2000, 100));
        cluster.add_job(2, amount(2000, 100));
        cluster.tick();
        for (std::uint64_t id = 3; id <= 8; ++id)
        {
            cluster.add_job(id, amount(2000, 100));
        }
        for (std::uint64_t id = 11; id <= 12; ++id)
        {
            cluster.add_job(id,
                            amount(2000, 100),
                            core::priority_class::batch,
                            "k",
                            "late");
        }
        cluster.tick();
        CPPUNIT_ASSERT_EQUAL(std::string("w"), cluster.worker_of(11));
        CPPUNIT_ASSERT_EQUAL(std::string("w"), cluster.worker_of(12));
    }

    // Guards against starvation of a large job by small ones that use all
    // capacity as soon as it is freed.
    void large_job_is_not_starved_by_small_ones()
    {
        fake_cluster cluster;
        cluster.add_worker("w");
        std::uint64_t next = 100;
        for (int i = 0; i < 4; ++i)
        {
            cluster.add_job(next++, amount(2000, 100));
        }
        cluster.tick();
        cluster.add_job(
            1, amount(8000, 100), core::priority_class::batch, "big", "u");
        // One small job ends and another arrives every minute.
        std::uint64_t oldest = 100;
        for (int minute = 0; minute < 40 && cluster.worker_of(1).empty();
             ++minute)
        {
            if (!cluster.worker_of(oldest).empty())
            {
                cluster.finish(oldest++);
            }
            cluster.add_job(next++, amount(2000, 100));
            cluster.tick(std::chrono::minutes(1));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("w"), cluster.worker_of(1));
    }

    // Guards against an urgent job waiting for batch to end, and against
    // evicting the task with most work since its checkpoint.
    void urgent_job_preempts_batch_that_loses_least_work()
    {
        fake_cluster cluster;
        cluster.add_worker("w1");
        cluster.add_worker("w2");
        cluster.add_job(1, amount(8000, 100));
        cluster.add_job(2, amount(8000, 100));
        cluster.tick();
        cluster.tick(std::chrono::minutes(30));
        cluster.policy().job_checkpointed(
            cluster.now(), core::job_id(2), core::attempt_number(1));
        cluster.add_job(
            3, amount(1000, 100), core::priority_class::urgent, "proof");
        std::vector<core::evict_task> evictions;
        for (int i = 0; i < 5; ++i)
        {
            auto const made = cluster.tick().batch.evictions;
            evictions.insert(evictions.end(), made.begin(), made.end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evictions.size());
        CPPUNIT_ASSERT(evictions[0].job == core::job_id(2));
        cluster.requeue(2);
        cluster.tick();
        CPPUNIT_ASSERT(!cluster.worker_of(3).empty());
    }

    // Guards against jobs that wait forever because no worker can fit them, due
    // to one resource or to a combination.
    void job_that_never_fits_is_refused_at_once()
    {
        fake_cluster cluster;
        cluster.add_worker("cores", "a", amount(9000, 1000, 0));
        cluster.add_worker("memory", "a", amount(1000, 9000, 2));
        cluster.add_job(1, amount(9000, 9000));
        cluster.add_job(2, amount(100, 100, 3));
        cluster.add_job(3, amount(9000, 1000));
        auto const decisions = cluster.tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decisions.batch.stops.size());
        CPPUNIT_ASSERT(decisions.batch.stops[0].code ==
                       core::result_code::job_never_fits);
        CPPUNIT_ASSERT_EQUAL(std::string("cores"), cluster.worker_of(3));
    }

    // Guards against the failure of one zone or rack stopping a whole service.
    void services_spread_over_zones_and_racks()
    {
        fake_cluster cluster;
        for (int i = 0; i < 6; ++i)
        {
            auto const number = std::to_string(i);
            cluster.add_worker("w" + number,
                               i < 3 ? "a" : "b",
                               amount(8000, 8000),
                               "r" + std::to_string(i / 2 + (i < 3 ? 0 : 9)));
        }
        for (std::uint64_t id = 1; id <= 4; ++id)
        {
            cluster.add_job(
                id, amount(500, 100), core::priority_class::service, "web");
        }
        cluster.tick();
        int in_a = 0;
        std::set<std::string> hosts;
        for (std::uint64_t id = 1; id <= 4; ++id)
        {
            auto const host = cluster.worker_of(id);
            in_a += host < "w3" ? 1 : 0;
            hosts.insert(host);
        }
        CPPUNIT_ASSERT_EQUAL(2, in_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, hosts.size());
        // Racks in zone a are {w0, w1} and {w2}: both have to be used.
        CPPUNIT_ASSERT(hosts.contains("w2"));
    }

    // Guards against a service that is spread over many racks of one zone
    // instead of over the zones.
    void zones_count_more_than_racks()
    {
        fake_cluster cluster;
        for (auto const* name : {"a1", "a2", "a3"})
        {
            cluster.add_worker(name, "a", amount(8000, 8000), name);
        }
        for (auto const* name : {"b1", "b2"})
        {
            cluster.add_worker(name, "b", amount(8000, 8000), "same rack");
        }
        for (std::uint64_t id = 1; id <= 4; ++id)
        {
            cluster.add_job(
                id, amount(500, 100), core::priority_class::service, "web");
        }
        cluster.tick();
        int in_a = 0;
        for (std::uint64_t id = 1; id <= 4; ++id)
        {
            in_a += cluster.worker_of(id) < "b" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, in_a);
    }

    // Guards against placements after operators took the zone out of service.
    void no_start_in_a_zone_that_is_out()
    {
        fake_cluster cluster;
        cluster.add_worker("w", "a");
        cluster.policy().zone_changed(cluster.now(),
                                      core::zone_id("a"),
                                      core::zone_state::out_of_service);
        cluster.add_job(1, amount(100, 100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, placed(cluster.tick()));
    }

    // Guards against evicting tasks that would end within the drain time,
    // against tasks that keep running after it, and against evicting tasks that
    // have no capacity elsewhere.
    void zone_out_of_service_lets_short_tasks_finish()
    {
        fake_cluster cluster;
        cluster.add_worker("w", "a");
        cluster.add_job(1, amount(1000, 100));
        cluster.add_job(
            2, amount(1000, 100), core::priority_class::service, "web");
        cluster.tick();
        cluster.policy().zone_changed(cluster.now(),
                                      core::zone_id("a"),
                                      core::zone_state::out_of_service);
        auto const first = cluster.tick().batch.evictions;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
        CPPUNIT_ASSERT(first[0].job == core::job_id(2));
        // The batch job is evicted once another zone has capacity for it.
        CPPUNIT_ASSERT(cluster.tick().batch.evictions.empty());
        cluster.add_worker("v", "b");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             cluster.tick().batch.evictions.size());
        cluster.policy().eviction_dropped(core::job_id(1),
                                          core::attempt_number(1));
        cluster.policy().worker_lost(cluster.now(), core::worker_id("v"));
        CPPUNIT_ASSERT(cluster.tick().batch.evictions.empty());
        auto const late = cluster.tick(std::chrono::minutes(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.batch.evictions.size());
    }

    // Guards against filling a zone at once when it returns to service.
    void returning_zone_opens_in_steps()
    {
        fake_cluster cluster;
        cluster.add_worker("w", "a");
        auto& policy = cluster.policy();
        core::zone_id const zone("a");
        policy.zone_changed(
            cluster.now(), zone, core::zone_state::out_of_service);
        for (std::uint64_t id = 1; id <= 8; ++id)
        {
            cluster.add_job(id, amount(1000, 100));
        }
        cluster.tick(std::chrono::hours(1));
        policy.zone_changed(cluster.now(), zone, core::zone_state::in_service);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed(cluster.tick()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, placed(cluster.tick()));
        auto const step = std::chrono::seconds(30);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed(cluster.tick(step)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed(cluster.tick(step)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed(cluster.tick(step)));
    }

    // Guards against a faulty worker that fails every task, so that it always
    // has free capacity and gets more tasks.
    void faulty_worker_is_quarantined_probed_and_restored()
    {
        fake_cluster cluster;
        cluster.add_worker("bad");
        for (std::uint64_t id = 1; id <= 3; ++id)
        {
            cluster.add_job(id, amount(1000, 100));
        }
        cluster.tick();
        for (std::uint64_t id = 1; id <= 3; ++id)
        {
            cluster.fail(id);
        }
        auto decisions = cluster.tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.quarantines.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, placed(decisions));
        // One probe after a minute; it fails, so the next quarantine is longer.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             placed(cluster.tick(std::chrono::seconds(61))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, placed(cluster.tick()));
        cluster.fail(cluster.running.begin()->first.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             placed(cluster.tick(std::chrono::seconds(61))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             placed(cluster.tick(std::chrono::seconds(61))));
        cluster.finish(cluster.running.begin()->first.value());
        decisions = cluster.tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.quarantines.size());
        CPPUNIT_ASSERT(!decisions.quarantines[0].quarantined);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed(decisions));
        CPPUNIT_ASSERT(decisions.batch.stops.empty());
    }

    // Guards against retrying a faulty job forever, and against quarantining
    // healthy workers because of it.
    void job_that_fails_everywhere_is_stopped()
    {
        fake_cluster cluster;
        for (auto const* name : {"w1", "w2", "w3"})
        {
            cluster.add_worker(name);
        }
        cluster.add_job(1, amount(1000, 100));
        std::set<std::string> hosts;
        tick_decisions decisions;
        for (int i = 0; i < 3; ++i)
        {
            decisions = cluster.tick(std::chrono::minutes(1));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed(decisions));
            hosts.insert(cluster.worker_of(1));
            cluster.fail(1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, hosts.size());
        decisions = cluster.tick(std::chrono::minutes(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.batch.stops.size());
        CPPUNIT_ASSERT(decisions.batch.stops[0].code ==
                       core::result_code::job_failed);
        CPPUNIT_ASSERT(decisions.quarantines.empty());
    }

    // Guards against leaking capacity when a placement is not committed.
    void dropped_placement_frees_its_worker()
    {
        fake_cluster cluster;
        cluster.add_worker("w");
        cluster.add_job(1, amount(8000, 100));
        auto const first = cluster.tick();
        auto const& command = first.batch.placements.at(0);
        cluster.policy().placement_dropped(
            cluster.now(), command.job, command.attempt);
        // The task has started already, so its capacity is not released.
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, placed(cluster.tick()));
        cluster.finish(1);
        core::job_id const job(2);
        cluster.add_job(2, amount(8000, 100));
        core::wall_time const wall(cluster.now().time_since_epoch());
        auto const lost = cluster.policy().tick(cluster.now(), wall);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.batch.placements.size());
        cluster.policy().placement_dropped(
            cluster.now(), job, core::attempt_number(1));
        auto const again = cluster.tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed(again));
        CPPUNIT_ASSERT(again.batch.placements[0].attempt ==
                       core::attempt_number(1));
    }

    // Guards against reusing the capacity of a task that may still run.
    void evicted_task_holds_capacity_until_requeued()
    {
        fake_cluster cluster;
        cluster.add_worker("w");
        cluster.add_job(1, amount(7900, 100));
        cluster.tick();
        cluster.policy().job_evicting(
            cluster.now(), core::job_id(1), core::attempt_number(1));
        cluster.policy().worker_lost(cluster.now(), core::worker_id("w"));
        cluster.add_worker("w");
        cluster.add_job(2, amount(100, 7900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed(cluster.tick()));
        cluster.add_job(3, amount(100, 100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, placed(cluster.tick()));
        // A repeated event for an attempt that still runs has no effect.
        cluster.policy().job_queued(cluster.now(),
                                    cluster.jobs.at(core::job_id(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, placed(cluster.tick()));
        cluster.requeue(1);
        CPPUNIT_ASSERT(placed(cluster.tick()) >= 1);
    }

    // Guards against keeping most workers of a small fleet free of batch after
    // a single urgent job.
    void urgent_headroom_leaves_most_workers_to_batch()
    {
        for (std::size_t const workers : {1, 4, 7})
        {
            fake_cluster cluster;
            for (std::size_t i = 0; i < workers; ++i)
            {
                cluster.add_worker("w" + std::to_string(i));
            }
            cluster.add_job(
                1, amount(500, 100), core::priority_class::urgent, "proof");
            cluster.tick();
            cluster.finish(1);
            for (std::uint64_t id = 2; id < 2 + 2 * workers; ++id)
            {
                cluster.add_job(id, amount(4000, 100));
            }
            cluster.tick();
            auto const kept = std::max<std::size_t>(1, workers / 3);
            CPPUNIT_ASSERT_EQUAL(2 * workers - kept, cluster.running.size());
        }
    }

    // Guards against batch using the capacity that was freed for an urgent job,
    // so that the next urgent job needs another eviction.
    void preempted_capacity_is_kept_for_the_next_urgent_job()
    {
        fake_cluster cluster;
        cluster.add_worker("w1");
        cluster.add_worker("w2");
        cluster.add_job(1, amount(7000, 100));
        cluster.add_job(2, amount(7000, 100));
        cluster.tick();
        auto const urgent = core::priority_class::urgent;
        cluster.add_job(3, amount(5000, 100), urgent, "proof");
        cluster.tick();
        auto const evictions = cluster.tick(std::chrono::seconds(1)).batch;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evictions.evictions.size());
        cluster.requeue(evictions.evictions[0].job.value());
        cluster.tick();
        CPPUNIT_ASSERT(!cluster.worker_of(3).empty());
        cluster.add_job(4, amount(3000, 100));
        cluster.tick();
        CPPUNIT_ASSERT(cluster.worker_of(4).empty());
        cluster.finish(3);
        cluster.add_job(5, amount(5000, 100), urgent, "proof");
        CPPUNIT_ASSERT(cluster.tick().batch.evictions.empty());
        CPPUNIT_ASSERT(!cluster.worker_of(5).empty());
    }

    // Guards against interpreting calendar deadlines of restored tasks as
    // monotonic times.
    void restored_deadline_is_calendar_time()
    {
        planner policy;
        core::time_point now(std::chrono::hours(2));
        core::wall_time const wall(std::chrono::hours(500'000));
        core::worker_description worker;
        worker.worker = core::worker_id("w");
        worker.place.zone = core::zone_id("a");
        worker.capacity = amount(8000, 8000);
        policy.worker_changed(now, worker);
        restored_task restored;
        restored.job.job = core::job_id(2);
        restored.job.deadline = wall + std::chrono::hours(5);
        restored.attempt = core::attempt_number(1);
        restored.worker = worker.worker;
        restored.reserved = amount(100, 100);
        policy.task_restored(now, restored);
        policy.tick(now, wall);
        auto later = restored.job;
        later.job = core::job_id(1);
        later.deadline = wall + std::chrono::hours(10);
        later.declared = amount(100, 100);
        policy.job_queued(now, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed(policy.tick(now, wall)));
        policy.zone_changed(
            now, core::zone_id("a"), core::zone_state::out_of_service);
        now += std::chrono::minutes(5);
        auto const decisions = policy.tick(now, wall + std::chrono::minutes(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decisions.batch.evictions.size());
        CPPUNIT_ASSERT(decisions.batch.evictions[0].job == core::job_id(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planner_test);

} // namespace turmericswitch::placement
