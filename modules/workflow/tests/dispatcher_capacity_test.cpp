#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Workers whose capacity shrinks or grows while runs are placed there.
class dispatcher_capacity_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(dispatcher_capacity_test);
    CPPUNIT_TEST(shrunk_capacity_withdraws_only_the_starts_in_excess);
    CPPUNIT_TEST(running_work_over_a_shrunk_capacity_goes_on);
    CPPUNIT_TEST(start_in_flight_is_withdrawn_only_when_it_is_due_again);
    CPPUNIT_TEST(shrunk_capacity_withdraws_low_priority_first);
    CPPUNIT_TEST(shrunk_memory_withdraws_only_tasks_that_need_it);
    CPPUNIT_TEST(withdrawn_gang_member_withdraws_its_gang);
    CPPUNIT_TEST(grown_capacity_is_used_again);
    CPPUNIT_TEST(overcommitted_worker_gets_no_best_effort_tasks);
    CPPUNIT_TEST(withdrawn_starts_do_not_set_the_worker_aside);
    CPPUNIT_TEST(orders_have_all_that_the_worker_must_have_room_for);
    CPPUNIT_TEST_SUITE_END();

public:
    // The capacity shrank between a placement and its start, and the start was
    // sent nevertheless.
    void shrunk_capacity_withdraws_only_the_starts_in_excess()
    {
        place({stage(3, 2000)});
        report({}, profile("w1", 4000));
        auto const first = orders();
        CPPUNIT_ASSERT(first.stops ==
                       std::vector<core::task_run>{run_of("a", 0, 2)});
        // The withdrawn start of an earlier leader may still be in flight.
        CPPUNIT_ASSERT(first.starts.empty());
        auto const& withdrawn = last_event(core::event_code::start_withdrawn);
        CPPUNIT_ASSERT(has_field(withdrawn, core::text_field("worker", "w1")));
        report_refused(first.stops, profile("w1", 4000));
        commit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started(orders()).size());
    }

    void running_work_over_a_shrunk_capacity_goes_on()
    {
        place({stage(3, 2000)});
        core::worker_runs runs;
        runs.running = {{run_of("a", 0, 1), {}, 0, 0}};
        report(runs, profile("w1", 1000));
        auto const due = orders();
        CPPUNIT_ASSERT(due.starts.empty());
        std::vector<core::task_run> const expected{run_of("a", 0, 0),
                                                   run_of("a", 0, 2)};
        CPPUNIT_ASSERT(due.stops == expected);
    }

    // The start may just have been executed; a stop would end running work.
    void start_in_flight_is_withdrawn_only_when_it_is_due_again()
    {
        place({stage(1, 2000)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started(orders()).size());
        report({}, profile("w1", 1000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, orders().batch);
        m_now += std::chrono::milliseconds(1500);
        CPPUNIT_ASSERT(m_dispatcher->workers_with_orders(m_now).contains(
            core::worker_id("w1")));
        auto const due = orders();
        CPPUNIT_ASSERT(due.starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.stops.size());
    }

    void shrunk_capacity_withdraws_low_priority_first()
    {
        auto low = queue();
        low.priority = 2;
        m_table.submit(submission("a", {stage(1, 2000)}), low, m_now);
        m_table.submit(submission("b", {stage(1, 2000)}), queue(), m_now);
        report({});
        grant();
        commit();
        report({}, profile("w1", 2000));
        CPPUNIT_ASSERT(orders().stops ==
                       std::vector<core::task_run>{run_of("a", 0, 0)});
    }

    // Best-effort tasks reserve memory and accelerators but no CPU.
    void shrunk_memory_withdraws_only_tasks_that_need_it()
    {
        auto spare = stage(1, 1000);
        spare.behaviour.uses_spare_cpu = true;
        spare.need.memory = core::byte_count(std::int64_t{40} << 20);
        auto accelerated = stage(1, 1000);
        accelerated.need.memory = core::byte_count(0);
        accelerated.need.accelerators = core::accelerator_count(1);
        auto of = profile("w1");
        of.capacity.accelerators = core::accelerator_count(1);
        m_table.submit(submission("a", {spare, accelerated}), queue(), m_now);
        report({}, of);
        grant();
        commit();
        auto less_memory = of;
        less_memory.capacity.memory = core::byte_count(1 << 20);
        report({}, less_memory);
        auto const first = orders();
        CPPUNIT_ASSERT(first.stops ==
                       std::vector<core::task_run>{run_of("a", 0, 0)});
        report_refused(first.stops, less_memory);
        commit();
        CPPUNIT_ASSERT(started(orders()) ==
                       std::vector<core::task_run>{run_of("a", 1, 0)});
        m_now += std::chrono::seconds(2);
        report({});
        CPPUNIT_ASSERT(orders().stops ==
                       std::vector<core::task_run>{run_of("a", 1, 0)});
    }

    // The other members would wait in vain until they end `alone`.
    void withdrawn_gang_member_withdraws_its_gang()
    {
        auto gang = stage(2, 4000);
        gang.behaviour.gang = true;
        place({gang});
        report({}, profile("w1", 4000));
        std::vector<core::task_run> const expected{run_of("a", 0, 0),
                                                   run_of("a", 0, 1)};
        CPPUNIT_ASSERT(orders().stops == expected);
    }

    void grown_capacity_is_used_again()
    {
        place({stage(2, 2000)});
        report({}, profile("w1", 2000));
        report({}, profile("w1", 4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started(orders()).size());
        m_table.submit(submission("b", {stage(1, 4000)}), queue(), m_now);
        CPPUNIT_ASSERT(!plan());
        report({}, profile("w1", 8000));
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan()->placements.size());
    }

    void overcommitted_worker_gets_no_best_effort_tasks()
    {
        place({stage(2, 2000)});
        auto spare = stage(1, 100);
        spare.behaviour.uses_spare_cpu = true;
        spare.need.memory = core::byte_count(0);
        m_table.submit(submission("b", {spare}), queue(), m_now);
        report({}, profile("w1", 3999));
        CPPUNIT_ASSERT(!plan());
    }

    // A worker is set aside after several refusals in a row; those that the
    // leader asked for say nothing about its health.
    void withdrawn_starts_do_not_set_the_worker_aside()
    {
        place({stage(4, 2000)});
        report({}, profile("w1", 0));
        report_refused(orders().stops, profile("w1", 0));
        commit();
        report({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, plan()->placements.size());
    }

    // The sidecar compares it with a capacity that the leader may not know.
    void orders_have_all_that_the_worker_must_have_room_for()
    {
        place({stage(3, 2000)});
        core::worker_runs runs;
        runs.running = {{run_of("a", 0, 0), {}, 0, 0}};
        report(runs);
        auto const all = orders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started(all).size());
        CPPUNIT_ASSERT(all.reserved.cpu == core::millicores(6000));
        CPPUNIT_ASSERT(all.reserved.memory == core::byte_count(3 << 20));
        runs.running.clear();
        runs.ended = {{1, run_of("a", 0, 0), core::run_end::done, {}}};
        report(runs);
        m_table.cancel(
            {core::queue_id("proofs"), core::workflow_id("a"), {}, {}}, m_now);
        auto const stops = orders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stops.stops.size());
        CPPUNIT_ASSERT(stops.reserved.cpu == core::millicores(4000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_capacity_test);

} // namespace turmericswitch::workflow
