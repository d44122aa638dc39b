#include "workflow/dispatch/stage_planner.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::workflow
{

using namespace testing;

/// Placement of tasks under which workers have crashed. When a task crashes its
/// worker, all runs there that were just started are suspects; innocent ones
/// must be cleared before they are suspected three times.
class crash_isolation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_isolation_test);
    CPPUNIT_TEST(suspects_are_placed_on_different_workers);
    CPPUNIT_TEST(isolated_task_shares_its_worker_with_no_new_run);
    CPPUNIT_TEST(isolated_task_prefers_the_worker_with_the_fewest_runs);
    CPPUNIT_TEST(waiting_isolated_task_closes_one_worker);
    CPPUNIT_TEST(worker_that_is_not_steady_gets_no_isolated_task);
    CPPUNIT_TEST(isolated_tasks_leave_most_workers_open);
    CPPUNIT_TEST(other_tasks_of_the_stage_do_not_wait);
    CPPUNIT_TEST(task_of_a_gang_is_isolated_with_its_gang);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_workers.clear();
        m_pending.clear();
        m_stage = stage(1);
    }

    // Two suspects on one worker stay suspects when one of them crashes it.
    void suspects_are_placed_on_different_workers()
    {
        add_workers(2);
        m_workers[0].runs = 1;
        m_workers[0].free.cpu = core::millicores(2000);
        add("a", 1);
        add("b", 1);
        auto const placed = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed.size());
        CPPUNIT_ASSERT(placed[0].worker != placed[1].worker);
    }

    // With another run that was just started there, a third crash would have
    // two suspects, and the workflow of an innocent task could be given up.
    void isolated_task_shares_its_worker_with_no_new_run()
    {
        add_workers(2);
        m_workers[0].add_not_established(core::workflow_id("x"),
                                         crash_suspicion::none);
        add("a", 2);
        add("b", 0, 8);
        auto const placed = plan();
        CPPUNIT_ASSERT(placed.front().worker == core::worker_id("w1"));
        for (auto const& each : placed)
        {
            CPPUNIT_ASSERT(each.worker == core::worker_id("w0") ||
                           each.run.task.workflow == core::workflow_id("a"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, placed.size());
    }

    // All runs of the worker are lost if the task crashes it again.
    void isolated_task_prefers_the_worker_with_the_fewest_runs()
    {
        add_workers(3);
        m_workers[0].runs = 4;
        m_workers[1].runs = 2;
        m_workers[1].free.cpu = core::millicores(1000);
        m_workers[2].runs = 3;
        add("a", 2);
        CPPUNIT_ASSERT(plan().front().worker == core::worker_id("w1"));
    }

    // On a busy fleet tasks start on every worker all the time. If the planner
    // did not keep them off one of the workers, the isolated task would never
    // start.
    void waiting_isolated_task_closes_one_worker()
    {
        add_workers(3);
        for (auto& each : m_workers)
        {
            each.add_not_established(core::workflow_id("x"),
                                     crash_suspicion::none);
        }
        m_workers[0].add_not_established(core::workflow_id("y"),
                                         crash_suspicion::none);
        add("a", 2);
        add("b", 0, 30);
        auto const placed = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, placed.size());
        for (auto const& each : placed)
        {
            CPPUNIT_ASSERT(each.worker != core::worker_id("w1"));
        }
        CPPUNIT_ASSERT(m_workers[1].isolated_for == core::workflow_id("a"));
    }

    // A crash of a worker that restarts again and again says nothing about a
    // task that has just started there. Nor may it be closed to other jobs,
    // since the isolated task would not start there.
    void worker_that_is_not_steady_gets_no_isolated_task()
    {
        add_workers(1);
        m_workers[0].is_steady = false;
        add("a", 2);
        add("b", 0);
        auto const placed = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed.size());
        CPPUNIT_ASSERT(placed.front().run == run_of("b", 0, 0));
        CPPUNIT_ASSERT(m_workers[0].isolated_for.value().empty());
    }

    // Guards against a fleet that is closed to all other work while many tasks
    // are isolated.
    void isolated_tasks_leave_most_workers_open()
    {
        add_workers(16);
        for (auto const* const id : {"a", "b", "c", "d", "e", "f"})
        {
            add(id, 2);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, plan().size());
    }

    // Guards against tasks that wait because another task of their stage must
    // be isolated and no worker may be closed for it.
    void other_tasks_of_the_stage_do_not_wait()
    {
        add_workers(2);
        add("a", 2);
        add("b", 2, 3);
        m_pending.back().suspected.erase(run_of("b", 0, 0));
        m_pending.back().suspected.erase(run_of("b", 0, 1));
        auto const placed = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, placed.size());
        CPPUNIT_ASSERT(placed[1].run == run_of("b", 0, 0));
        CPPUNIT_ASSERT(placed[2].run == run_of("b", 0, 1));
    }

    // A gang starts as a whole, so its other members may be beside it.
    void task_of_a_gang_is_isolated_with_its_gang()
    {
        add_workers(2);
        m_workers[1].add_not_established(core::workflow_id("x"),
                                         crash_suspicion::none);
        m_stage = stage(2, 8000);
        m_stage.behaviour.gang = true;
        add("a", 2, 2);
        m_pending.front().suspected.erase(m_pending.front().runs.front());
        auto const placed = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed.size());
        CPPUNIT_ASSERT(placed[0].run == run_of("a", 0, 1));
        CPPUNIT_ASSERT(placed[0].worker == core::worker_id("w0"));
        CPPUNIT_ASSERT(placed[1].worker == core::worker_id("w1"));
    }

private:
    void add_workers(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            auto const about = profile("w" + std::to_string(i));
            candidate_worker worker;
            worker.worker = about.worker;
            worker.life = about.life;
            worker.service = about.service;
            worker.rack = about.rack;
            worker.capacity = about.capacity;
            worker.free = about.capacity;
            worker.spare = about.capacity.cpu;
            m_workers.push_back(worker);
        }
    }

    /// Adds a waiting stage whose tasks have this many crashes.
    void
    add(std::string const& id, std::uint32_t crashes, std::uint32_t tasks = 1)
    {
        pending_stage pending;
        pending.stage = {core::workflow_id(id), 0, 0};
        pending.description = &m_stage;
        pending.service = core::service_id("labels");
        for (std::uint32_t i = 0; i < tasks; ++i)
        {
            pending.runs.push_back(run_of(id, 0, i));
            if (crashes > 0)
            {
                pending.suspected.emplace(run_of(id, 0, i),
                                          suspicion_after(crashes));
            }
        }
        m_pending.push_back(std::move(pending));
    }

    std::vector<core::run_placement> plan()
    {
        std::vector<pending_stage const*> pending;
        for (auto const& each : m_pending)
        {
            pending.push_back(&each);
        }
        std::vector<candidate_worker*> workers;
        for (auto& each : m_workers)
        {
            workers.push_back(&each);
        }
        return plan_stages(pending,
                           workers,
                           100,
                           [](auto const&, auto const&) { return 0.0; });
    }

    core::stage_description m_stage;
    std::vector<candidate_worker> m_workers;
    std::vector<pending_stage> m_pending;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_isolation_test);

} // namespace turmericswitch::workflow
