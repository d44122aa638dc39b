#include "dispatcher_fixture.hpp"
#include "planning_builder.hpp"
#include "workflow/dispatch/worker_health.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace turmericswitch::workflow
{

using namespace testing;

/// What a worker gets that refuses a part of its starts.
class worker_health_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(worker_health_test);
    CPPUNIT_TEST(limit_follows_the_share_of_refused_starts);
    CPPUNIT_TEST(limit_rises_as_the_worker_executes_starts);
    CPPUNIT_TEST(worker_that_refuses_half_does_not_change_by_turns);
    CPPUNIT_TEST(pauses_of_a_worker_that_refuses_all_are_bounded);
    CPPUNIT_TEST(refusing_worker_gets_few_starts_at_once);
    CPPUNIT_TEST(task_prefers_a_worker_that_refuses_none);
    CPPUNIT_TEST(task_is_not_stranded_if_all_workers_refuse_some);
    CPPUNIT_TEST(gang_is_not_limited);
    CPPUNIT_TEST_SUITE_END();

public:
    void limit_follows_the_share_of_refused_starts()
    {
        CPPUNIT_ASSERT(!m_health.max_undecided_starts(m_worker));
        refuse();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             *m_health.max_undecided_starts(m_worker));
        for (int i = 0; i < 20; ++i)
        {
            refuse();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             *m_health.max_undecided_starts(m_worker));
    }

    // Guards against a worker that stays limited after it is well again.
    void limit_rises_as_the_worker_executes_starts()
    {
        for (int i = 0; i < 20; ++i)
        {
            refuse();
        }
        std::size_t before = 1;
        int starts = 0;
        for (; m_health.max_undecided_starts(m_worker); ++starts)
        {
            auto const limit = *m_health.max_undecided_starts(m_worker);
            CPPUNIT_ASSERT(limit >= before);
            before = limit;
            m_health.record_begun(m_worker);
        }
        CPPUNIT_ASSERT(starts < 10);
        CPPUNIT_ASSERT(!m_health.is_sick(m_now, m_worker));
    }

    // Guards against a quarantine that ends and begins again with each run that
    // a sick worker executes.
    void worker_that_refuses_half_does_not_change_by_turns()
    {
        int changes = 0;
        for (int i = 0; i < 400; ++i)
        {
            bool const was_sick = m_health.is_sick(m_now, m_worker);
            m_now += std::chrono::milliseconds(100);
            if (i % 2 == 0)
            {
                refuse();
            }
            else
            {
                m_health.record_begun(m_worker);
            }
            changes += was_sick != m_health.is_sick(m_now, m_worker) ? 1 : 0;
        }
        CPPUNIT_ASSERT(changes <= 1);
    }

    // Guards against a worker that is well again and not tried.
    void pauses_of_a_worker_that_refuses_all_are_bounded()
    {
        for (int i = 0; i < 50; ++i)
        {
            refuse();
            m_now += std::chrono::milliseconds(2001);
            CPPUNIT_ASSERT(!m_health.is_quarantined(m_now, m_worker));
        }
    }

    // Guards against a backlog that goes to a sick worker at once, to be
    // refused there, while it has more room than the others.
    void refusing_worker_gets_few_starts_at_once()
    {
        place({stage(8)});
        report_refused({run_of("a", 0, 0)}, profile("w1"));
        commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{7},
                             m_table.held_on(core::worker_id("w1")).size());
        CPPUNIT_ASSERT(m_dispatcher->counts(m_now, m_config)
                           .held_back.at(static_cast<std::size_t>(
                               placement_obstacle::start_limit)) == 1);
        std::vector<core::task_run> begun;
        for (std::uint32_t i = 1; i < 8; ++i)
        {
            begun.push_back(run_of("a", 0, i));
        }
        m_now += std::chrono::milliseconds(100);
        report(running(begun));
        commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                             m_table.held_on(core::worker_id("w1")).size());
    }

    void task_prefers_a_worker_that_refuses_none()
    {
        std::vector<candidate_worker> workers{candidate("sick", 8000),
                                              candidate("well", 8000)};
        workers[0].refused_share = 0.4;
        workers[0].starts_left = 2;
        workers[1].free.cpu = core::millicores(1000);
        auto const description = stage(5);
        auto const placed =
            plan_stages({pending("a", description, 5)}, workers, 100, no_tail);
        CPPUNIT_ASSERT(placed.front().worker == core::worker_id("well"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placed, "sick"));
    }

    void task_is_not_stranded_if_all_workers_refuse_some()
    {
        for (int i = 0; i < 20; ++i)
        {
            refuse();
        }
        auto worker = candidate("w1", 8000);
        worker.refused_share = m_health.refused_share(m_worker);
        worker.starts_left = m_health.max_undecided_starts(m_worker);
        std::vector<candidate_worker> workers{worker};
        auto const description = stage(5);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            plan_stages({pending("a", description, 5)}, workers, 100, no_tail)
                .size());
    }

    // Its members start together or not at all, so a limit below its size would
    // hold it back for ever.
    void gang_is_not_limited()
    {
        auto worker = candidate("w1", 8000);
        worker.starts_left = 1;
        std::vector<candidate_worker> workers{worker};
        auto description = stage(5);
        description.behaviour.gang = true;
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{5},
            plan_stages({pending("a", description, 5)}, workers, 100, no_tail)
                .size());
    }

    void setUp() override
    {
        dispatcher_fixture::setUp();
        m_health = {};
    }

private:
    void refuse()
    {
        m_health.record_end(
            m_now, m_worker, run_of("a", 0, 0), core::run_end::refused);
    }

    core::worker_id m_worker{"w1"};
    worker_health m_health;
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_health_test);

} // namespace turmericswitch::workflow
